//! Holds back calls to the store while it doesn't respond to this host.

use crate::clock;
use crate::state::GatewayState;
use lagoonlift_adapter::store::StoreError;
use lagoonlift_policy::dispatch::{StoreBackoff, StorePermit};
use rand::RngExt;
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::sleep;

/// Polling interval of a task that waits for the store.
const WAIT_INTERVAL: Duration = Duration::from_millis(50);

/// Admits the calls of this host's tasks to the store.
#[derive(Debug, Default)]
pub(crate) struct StoreGate {
    backoff: RefCell<StoreBackoff>,
}

/// Permission for one call. The result has to be recorded; a permission that is dropped
/// without one, because its task was cancelled, counts as failed.
pub(crate) struct GatePass<'a> {
    state: &'a GatewayState,
    permit: StorePermit,
    is_recorded: bool,
}

impl StoreGate {
    /// Waits until a call to the store may be made.
    pub(crate) async fn enter(state: &GatewayState) -> GatePass<'_> {
        let gate = &state.store_gate;
        loop {
            let permit = gate.backoff.borrow_mut().permit(clock::now());
            if permit != StorePermit::Wait {
                return GatePass {
                    state,
                    permit,
                    is_recorded: false,
                };
            }
            sleep(WAIT_INTERVAL).await;
            gate.observe_readers(state);
        }
    }

    /// Waits until the store responds to this host again, without a call.
    pub(crate) async fn wait_until_open(state: &GatewayState) {
        while !state.store_gate.is_open() {
            sleep(WAIT_INTERVAL).await;
        }
    }

    /// Returns whether the store responds to this host, as far as known.
    pub(crate) fn is_open(&self) -> bool {
        !self.backoff.borrow().is_unavailable()
    }

    fn observe_readers(&self, state: &GatewayState) {
        let has_reader = state.store_readers.borrow().has_reader();
        let jitter = rand::rng().random();
        let mut backoff = self.backoff.borrow_mut();
        backoff.record_readers(clock::now(), has_reader, jitter);
    }
}

impl GatePass<'_> {
    /// Returns whether other tasks wait on the result of the call.
    pub(crate) fn is_probe(&self) -> bool {
        self.permit == StorePermit::Probe
    }

    /// Records the result of the call.
    pub(crate) fn record<T>(mut self, result: &Result<T, StoreError>) {
        self.is_recorded = true;
        match result {
            // These say nothing about whether the store responds.
            Err(StoreError::Restored | StoreError::NotSendable(_))
                if self.permit == StorePermit::Call => {}
            Err(
                StoreError::NoResponse(_)
                | StoreError::UnexpectedStatus(_)
                | StoreError::NotSendable(_),
            ) => self.fail(),
            _ => self.state.store_gate.backoff.borrow_mut().record_success(),
        }
    }

    fn fail(&self) {
        let state = self.state;
        let readers = state.store_readers.borrow();
        let role = readers.probe_role(state.max_host_count());
        let has_reader = readers.has_reader();
        let jitter = rand::rng().random();
        let mut backoff = state.store_gate.backoff.borrow_mut();
        backoff.record_failure(clock::now(), self.permit, role, has_reader, jitter);
    }
}

impl Drop for GatePass<'_> {
    fn drop(&mut self) {
        if !self.is_recorded && self.permit == StorePermit::Probe {
            self.fail();
        }
    }
}
