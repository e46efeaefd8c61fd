//! Keeps requests with a suspect in quarantine from the upstreams, and reports how
//! upstreams fared with the others.

use super::RequestRun;
use crate::clock;
use crate::crash_monitor;
use crate::quarantine_store;
use crate::reply::Refusal;
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{
    QuarantinedSuspect, RefusalCause, ServiceVersion, SuspectKey, SuspectKind,
};

/// The send that is a probe of a quarantined suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClaimedProbe {
    key: SuspectKey,
    /// Sends of the request before it.
    sends: u32,
}

impl RequestRun {
    /// Returns the response to a request that no upstream may get, because it, or a block
    /// of its prompt, crashes them. A request that may be sent as a probe passes.
    pub(super) async fn pass_quarantine(&mut self) -> Result<(), Refusal> {
        let Some(found) = self.find_quarantined() else {
            return Ok(());
        };
        let probe = ClaimedProbe {
            key: found.key,
            sends: self.summary.sends,
        };
        if self.claimed_probe == Some(probe) {
            return Ok(());
        }
        let is_due = found.time_until_probe().is_some_and(|time| time.is_zero());
        if is_due
            && self.has_upstream()
            && quarantine_store::claim_probe(&self.state, found.key).await
        {
            tracing::info!(
                request = self.admitted.outgoing.request.id,
                content = %format_args!("{:x}", found.key.id),
                "request with a quarantined suspect sent as a probe"
            );
            self.claimed_probe = Some(probe);
            return Ok(());
        }
        Err(self.quarantined(&found))
    }

    fn find_quarantined(&self) -> Option<QuarantinedSuspect> {
        let quarantine = self.state.crash_quarantine.borrow();
        quarantine.find(clock::now(), &self.admitted.service, &self.suspects)
    }

    /// Returns whether an upstream could take the request now.
    fn has_upstream(&self) -> bool {
        match self.is_prompt() {
            true => self.prompt_plan().is_ok(),
            false => self.plain_attempt().is_ok(),
        }
    }

    fn quarantined(&self, found: &QuarantinedSuspect) -> Refusal {
        let reason = match found.key.kind {
            SuspectKind::Block => "a prefix block crashes engines",
            SuspectKind::Request => "the request crashes upstreams",
        };
        let wait = found.time_until_probe().unwrap_or(found.time_left);
        self.refusal(reason, RefusalCause::Quarantine(wait))
    }

    /// Records that the connection of an attempt ended early; the upstream may have
    /// crashed.
    pub(crate) fn record_interruption(&mut self, upstream: UpstreamKey) {
        match &self.sent_to {
            Some((sent_to, record)) if *sent_to == upstream => {
                let suspects = &self.suspects;
                let check =
                    crash_monitor::record_interruption(&self.state, upstream, record, suspects);
                self.crash_check = Some(check);
            }
            Some(_) | None => {}
        }
    }

    /// Waits until it is known whether the upstream of the latest attempt has crashed.
    pub(crate) async fn end_crash_check(&mut self) {
        if let Some(check) = self.crash_check.take() {
            check.ended().await;
        }
    }

    /// Records that an upstream answered the request without a crash.
    pub(crate) fn record_success(&self) {
        let origin = match &self.sent_to {
            Some((_, record)) => ServiceVersion::of(record),
            None => ServiceVersion::of_service(&self.admitted.service),
        };
        let mut quarantine = self.state.crash_quarantine.borrow_mut();
        quarantine.record_success(clock::now(), origin, &self.suspects);
    }
}
