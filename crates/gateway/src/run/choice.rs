//! Chooses the upstream and the work of the next attempt.

use super::RequestRun;
use crate::clock;
use crate::reply::Refusal;
use crate::send::Attempt;
use lagoonlift_adapter::upstream::UpstreamTask;
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{
    EngineSpec, FleetView, Placement, PromptPlan, PromptRefusal, RefusalCause, RemoteShareChange,
    RequiredVersion,
};
use rand::RngExt;
use std::rc::Rc;

impl RequestRun {
    pub(super) fn is_prompt(&self) -> bool {
        let request = &self.admitted.outgoing.request;
        self.admitted.route.has_prompt && request.prompt.prompt_tokens > 0
    }

    /// Returns what the configuration states about the engines of the service.
    pub(super) fn engine_spec<T>(&self, read: impl FnOnce(&EngineSpec) -> T) -> Option<T> {
        let config = self.state.config()?;
        let mut services = config.services().iter();
        let service = services.find(|service| service.name == self.admitted.service)?;
        service.engine.as_ref().map(read)
    }

    /// Returns the size of an engine's KV cache if engines crash beyond it.
    fn limited_kv_cache(&self) -> Option<u64> {
        let is_limited = self.state.upstream_rules.crashes_beyond_kv_cache;
        let size = self.engine_spec(|engine| engine.kv_cache_tokens);
        size.filter(|_| is_limited)
    }

    /// Calls `choose` with the placement policy and the current view of the fleet.
    pub(super) fn choose<T>(
        &self,
        tried: &[UpstreamKey],
        choose: impl FnOnce(&Placement, FleetView<'_>) -> T,
    ) -> T {
        let view = FleetView {
            table: &self.state.table.borrow(),
            peers: &self.state.peer_loads.borrow(),
            service: &self.admitted.service,
            version: self.required_version,
            tried,
            changing_role: &self.state.changing_role.borrow(),
            kv_cache_tokens: self.limited_kv_cache(),
            is_only_attempt: !self.admitted.route.may_run_again(),
            now: clock::now(),
            tie_breaker: rand::rng().random(),
        };
        choose(&self.state.placement.borrow(), view)
    }

    /// Returns the version that a new resumable stream should begin at, because others are
    /// leaving.
    fn staying_version(&self) -> Option<RequiredVersion> {
        let is_resumable = self.admitted.route.retry_safety.is_resumable();
        if !is_resumable || self.required_version != RequiredVersion::Any {
            return None;
        }
        let table = self.state.table.borrow();
        let staying = table.staying_version(&self.admitted.service);
        staying.map(RequiredVersion::Only)
    }

    /// Returns an upstream with a free slot for a new stream, of the version that stays.
    fn choose_staying_upstream(&self) -> Option<UpstreamKey> {
        let version = self.staying_version()?;
        let chosen = self.choose(&self.tried, |placement, view| {
            placement.choose_upstream(FleetView { version, ..view })
        })?;
        let table = self.state.table.borrow();
        let upstream = table.get(chosen)?;
        (upstream.in_flight < upstream.record.slots).then_some(chosen)
    }

    /// Returns an attempt of a request without a prompt, preferably on an upstream
    /// that has not been tried.
    pub(super) fn plain_attempt(&self) -> Result<Attempt, Refusal> {
        let untried = self.choose_staying_upstream().or_else(|| {
            self.choose(&self.tried, |placement, view| {
                placement.choose_upstream(view)
            })
        });
        self.log_share_change();
        let silent = self.silent_upstream.as_slice();
        let any = || self.choose(silent, |placement, view| placement.choose_upstream(view));
        let upstream = untried
            .or_else(any)
            .ok_or_else(|| self.no_upstream("no upstream is there"))?;
        Ok(self.attempt(upstream, UpstreamTask::Run, 0))
    }

    fn log_share_change(&self) {
        let service = &self.admitted.service;
        let change = self.state.placement.borrow().take_share_change(service);
        if let Some(RemoteShareChange { from, to, facts }) = change {
            tracing::info!(
                %service,
                from,
                to,
                home_in_flight = facts.home.in_flight,
                home_slots = facts.home.slots,
                free_elsewhere = facts.elsewhere.slots - facts.elsewhere.in_flight,
                news_age = ?facts.news_age,
                "share of requests that may leave the data centre changed"
            );
        }
    }

    pub(super) fn prompt_plan(&self) -> Result<PromptPlan, Refusal> {
        let prompt = &self.admitted.outgoing.request.prompt;
        let goal = self.admitted.route.latency_goal;
        let time_left = clock::time_until(self.admitted.deadline);
        let plan_at = |version| {
            self.choose(&self.tried, |placement, view| {
                let view = FleetView { version, ..view };
                placement.plan_prompt(view, prompt, goal, time_left)
            })
        };
        let staying = self.staying_version().map(plan_at).and_then(Result::ok);
        let plan = staying.map_or_else(|| plan_at(self.required_version), Ok);
        plan.map_err(|refusal| match refusal {
            PromptRefusal::NoEngine => self.no_upstream("no engine is there"),
            PromptRefusal::Overload(wait) => {
                self.refusal("all engines are busy reading", RefusalCause::Overload(wait))
            }
            PromptRefusal::KvCachesFull => self.refusal(
                "the KV caches of the engines are full",
                RefusalCause::NoCapacity,
            ),
            PromptRefusal::TooLong => {
                let reason = "the prompt does not fit into the KV cache of an engine";
                self.refusal(reason, RefusalCause::NoCapacity)
            }
        })
    }

    /// Returns an attempt with prefill and decode on one engine.
    pub(super) fn single_engine_attempt(&self, upstream: UpstreamKey) -> Attempt {
        let tokens = self.admitted.outgoing.request.prompt.prompt_tokens;
        self.attempt(upstream, UpstreamTask::Run, u64::from(tokens))
    }

    pub(super) fn attempt(
        &self,
        upstream: UpstreamKey,
        task: UpstreamTask,
        prefill_tokens: u64,
    ) -> Attempt {
        Attempt {
            upstream,
            task,
            version: self.required_version,
            resume_after: self.resume_after,
            prefill_tokens,
            caller_deadline: self.admitted.deadline,
            deadline: self.admitted.deadline,
            is_sent: Rc::default(),
        }
    }
}
