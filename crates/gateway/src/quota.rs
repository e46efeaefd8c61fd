//! Charges requests to the quotas of their workspaces.

use crate::clock;
use crate::reply::{GatewayReply, Refusal};
use crate::state::GatewayState;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    AskId, HostQuotas, NotRunProof, QuotaCharge, QuotaDecision, QuotaKey, QuotaLimits,
    QuotaRefusal, ServingConfig, WorkspaceQuota,
};
use lagoonlift_settings::GatewayBounds;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::pin;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Time after which a question that isn't answered is sent again, to all hosts that may own
/// the workspace.
const REPEAT_TIME: Duration = Duration::from_millis(25);

/// Time for which a request waits for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(80);

/// Largest number of workspaces with metrics of their own.
const MAX_LABELS: usize = 64;

/// Label of the workspaces beyond that.
const OTHER_LABEL: &str = "other";

/// The quotas of this host, and what wakes the tasks that wait for a change of them.
pub(crate) struct QuotaState {
    pub(crate) quotas: RefCell<HostQuotas>,
    /// Notified when there are messages to send, or the first quotas have come into force.
    pub(crate) has_news: Notify,
    /// Notified when a message from a peer has been handled.
    pub(crate) heard: Notify,
    labels: RefCell<BTreeSet<String>>,
    /// Requests admitted as parts of the slack, since the start.
    ownerless: Cell<u64>,
}

impl QuotaState {
    /// Creates the quotas of a process. `own` is its address for messages, if it has one.
    pub(crate) fn new(own: Option<SocketAddr>, seed: u64, bounds: &GatewayBounds) -> Self {
        let own = own.unwrap_or(NO_ADDRESS);
        let quotas = HostQuotas::new(own, seed, limits(bounds), clock::now());
        Self {
            quotas: RefCell::new(quotas),
            has_news: Notify::new(),
            heard: Notify::new(),
            labels: RefCell::new(BTreeSet::new()),
            ownerless: Cell::new(0),
        }
    }

    /// Puts the quotas of a configuration into force.
    pub(crate) fn apply_config(&self, config: &ServingConfig) {
        let mut quotas = self.quotas.borrow_mut();
        quotas.set_quotas(clock::now(), config.quotas());
        if !quotas.is_empty() {
            self.has_news.notify_one();
        }
    }

    /// Applies the limits of reloaded settings.
    pub(crate) fn set_bounds(&self, bounds: &GatewayBounds) {
        self.quotas.borrow_mut().set_limits(limits(bounds));
    }

    /// Returns the charge of a request that certainly doesn't run.
    pub(crate) fn give_back(&self, charge: QuotaCharge) {
        self.quotas.borrow_mut().give_back(clock::now(), charge);
        self.has_news.notify_one();
    }

    /// Returns the label of a workspace in metrics.
    fn label(&self, workspace: &str) -> String {
        let mut labels = self.labels.borrow_mut();
        if !labels.contains(workspace) {
            if labels.len() >= MAX_LABELS {
                return OTHER_LABEL.to_owned();
            }
            labels.insert(workspace.to_owned());
        }
        workspace.to_owned()
    }

    /// Waits for the answer to a question until `until`.
    async fn answer(&self, ask: AskId, until: Instant) -> Option<QuotaDecision> {
        loop {
            let mut heard = pin!(self.heard.notified());
            heard.as_mut().enable();
            let answer = self.quotas.borrow_mut().take_answer(clock::now(), ask);
            if answer.is_some() {
                return answer;
            }
            timeout_at(until, heard).await.ok()?;
        }
    }

    async fn decide(&self, key: QuotaKey, charge: u64) -> QuotaDecision {
        let begun = self.quotas.borrow_mut().begin(clock::now(), key, charge);
        self.has_news.notify_one();
        let ask = match begun {
            Ok(decision) => return decision,
            Err(ask) => ask,
        };
        let start = Instant::now();
        if let Some(answer) = self.answer(ask, start + REPEAT_TIME).await {
            return answer;
        }
        self.quotas.borrow_mut().repeat_ask(clock::now(), ask);
        self.has_news.notify_one();
        match self.answer(ask, start + ANSWER_TIME).await {
            Some(answer) => answer,
            None => self.quotas.borrow_mut().end_ask(clock::now(), ask),
        }
    }
}

/// Stands for the address of a host that exchanges no messages.
pub(crate) const NO_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

fn limits(bounds: &GatewayBounds) -> QuotaLimits {
    QuotaLimits {
        window: bounds.quota_window,
        overrun: bounds.quota_overrun,
        slack: bounds.quota_slack,
    }
}

/// Charges a request to the quota of its workspace. `stated_tokens` is what
/// the request says of its tokens. The error is the response to a request that is refused.
pub(crate) async fn charge(
    state: &GatewayState,
    workspace: &str,
    quota: WorkspaceQuota,
    request: &str,
    stated_tokens: Option<u64>,
) -> Result<Option<QuotaCharge>, GatewayReply> {
    let desk = &state.quota_state;
    let charge = quota.charge(stated_tokens);
    let key = QuotaKey::new(workspace);
    let asked_at = clock::now();
    match desk.decide(key, charge).await {
        QuotaDecision::Admit(charged) => {
            let label = desk.label(workspace);
            state.metrics.count_quota_charge(&label, charge);
            if charged.is_some_and(|charged| charged.is_ownerless()) {
                desk.ownerless.set(desk.ownerless.get() + 1);
            }
            Ok(charged)
        }
        QuotaDecision::Refuse(refusal) => {
            log_refusal(state, workspace, request, charge, &refusal, asked_at);
            Err(reply(&refusal))
        }
    }
}

fn log_refusal(
    state: &GatewayState,
    workspace: &str,
    request: &str,
    charge: u64,
    refusal: &QuotaRefusal,
    asked_at: Timestamp,
) {
    let desk = &state.quota_state;
    let (reason, left, age) = match refusal {
        QuotaRefusal::UsedUp { left, age, .. } => ("used-up", Some(*left), Some(*age)),
        QuotaRefusal::TooLarge { .. } => ("too-large", None, None),
        QuotaRefusal::NoOwner { .. } => ("no-owner", None, None),
    };
    let label = desk.label(workspace);
    state.metrics.count_quota_refusal(&label, reason);
    tracing::info!(
        request,
        workspace,
        charge,
        reason,
        left,
        age_ms = age.map(|age| age.as_millis() as u64),
        waited_ms = clock::now().since(asked_at).as_millis() as u64,
        retry_after_ms = refusal.retry_after().as_millis() as u64,
        without_owner = desk.ownerless.get(),
        "refused by quota"
    );
}

/// Returns the response to a request that is refused before its first attempt.
fn reply(refusal: &QuotaRefusal) -> GatewayReply {
    let proof = NotRunProof::before_attempts();
    let reason = match refusal {
        QuotaRefusal::UsedUp { .. } => "the quota of the workspace is used up",
        QuotaRefusal::TooLarge { .. } => "the request is larger than the quota of its workspace",
        QuotaRefusal::NoOwner { retry_after } => {
            let reason = "the quota of the workspace is not known now";
            return GatewayReply::not_run(Refusal::new(reason, *retry_after), proof);
        }
    };
    GatewayReply::over_quota(Refusal::new(reason, refusal.retry_after()), proof)
}
