//! State shared by all requests of one entry process.

use crate::admission::{AdmissionActor, PlacementRequest};
use crate::body::BodyLimits;
use crate::claim_actor::ClaimActor;
use crate::claim_guard::{ClaimGuard, ClaimRequest};
use crate::directory::KeyDirectory;
use crate::explain::DecisionRecorder;
use crate::instruments::{EntryInstruments, RequestLabels};
use crate::limit_table::{ChargeGuard, LimitTable};
use crate::retry::RetryBudget;
use crate::tuning::EntryTuning;
use arc_swap::ArcSwap;
use lagoonlift_callers::OutcomeReply;
use lagoonlift_types::{
    ClassName, NotRunReason, OutcomeKind, RequestId, UsageFigures, WorkspaceName,
};
use lagoonlift_usage::UsageRecorder;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::{Instant, timeout};
use xtra::Address;

/// State shared by all requests of one entry process.
pub(crate) struct EntryContext {
    pub(crate) directory: ArcSwap<KeyDirectory>,
    pub(crate) admission: Address<AdmissionActor>,
    pub(crate) instruments: EntryInstruments,
    pub(crate) recorder: DecisionRecorder,
    pub(crate) usage_recorder: UsageRecorder,
    pub(crate) claims: Address<ClaimActor>,
    pub(crate) limits: Arc<LimitTable>,
    pub(crate) budgets: Mutex<RetryBudgets>,
    pub(crate) tuning: EntryTuning,
    pub(crate) body_limits: BodyLimits,
}

/// The retry budgets, one for each kind of retry.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    /// Retries that start over.
    restarts: RetryBudget,
    /// Retries that resume after the tokens received so far. They repeat only
    /// the prefill, so their share may be larger.
    resumes: RetryBudget,
}

impl RetryBudgets {
    pub(crate) fn new(tuning: &EntryTuning) -> Self {
        Self {
            restarts: RetryBudget::new(tuning.restart_budget),
            resumes: RetryBudget::new(tuning.resume_budget),
        }
    }

    fn budget(&mut self, is_resume: bool) -> &mut RetryBudget {
        match is_resume {
            true => &mut self.resumes,
            false => &mut self.restarts,
        }
    }
}

impl EntryContext {
    /// Counts a request that is sent for the first time.
    pub(crate) fn count_request(&self) {
        let now = Instant::now();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets.restarts.count_request(now);
        budgets.resumes.count_request(now);
    }

    /// Takes one retry from the budget; returns `false` if the budget is
    /// exhausted.
    pub(crate) fn try_take_retry(&self, is_resume: bool) -> bool {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets.budget(is_resume).try_take_retry(Instant::now())
    }

    /// Returns whether the budget permits a retry.
    pub(crate) fn has_retry(&self, is_resume: bool) -> bool {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets.budget(is_resume).has_retry(Instant::now())
    }

    /// Records a request's usage. Returns when a second copy exists, or after a
    /// timeout that keeps the caller's last byte from being delayed too long.
    pub(crate) async fn record_usage(
        &self,
        request: RequestId,
        workspace: &WorkspaceName,
        class: &ClassName,
        figures: UsageFigures,
    ) {
        let recorded =
            self.usage_recorder
                .record(request, workspace.clone(), class.clone(), figures);
        match timeout(self.tuning.usage_copy_timeout, recorded).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => self.instruments.count_uncopied(),
        }
    }

    /// Charges a request to its workspace's limits.
    pub(crate) fn charge(
        &self,
        workspace: &WorkspaceName,
        prompt_tokens: u64,
        max_output_tokens: u64,
    ) -> Result<ChargeGuard, OutcomeReply> {
        let charge = self
            .limits
            .admit(workspace, prompt_tokens, max_output_tokens);
        charge.map_err(|wait| {
            OutcomeReply::not_run(
                NotRunReason::LimitReached,
                Some(wait),
                "the workspace's limit is reached",
            )
        })
    }

    /// Claims the caller's `Idempotency-Key` for a request.
    pub(crate) async fn claim(
        &self,
        claim_request: ClaimRequest,
        request: RequestId,
    ) -> Result<ClaimGuard, OutcomeReply> {
        let limit = self.tuning.claim_timeout;
        ClaimGuard::acquire(self.claims.clone(), claim_request, request, limit).await
    }

    /// Counts a finished request and records its outcome.
    pub(crate) fn count_end(
        &self,
        placement_request: &PlacementRequest,
        labels: &RequestLabels,
        kind: OutcomeKind,
        arrived: Instant,
    ) {
        self.instruments
            .count_outcome(labels, kind, arrived.elapsed());
        self.recorder.ended(
            placement_request.request,
            &placement_request.workspace,
            kind,
        );
    }

    /// Counts a request that was refused before it was accepted, for example
    /// because of its key, its body, a limit or a held claim. The workspace and
    /// class labels are empty, even if both are known.
    pub(crate) fn count_refusal(&self, kind: OutcomeKind, arrived: Instant) {
        let labels = RequestLabels::empty();
        self.instruments
            .count_outcome(&labels, kind, arrived.elapsed());
    }
}
