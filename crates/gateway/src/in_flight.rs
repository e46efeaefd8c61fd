//! What is in flight: counted from the creation of a value until it is dropped.

use crate::clock;
use crate::state::GatewayState;
use lagoonlift_policy::UpstreamKey;
use std::rc::Rc;

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlight(Rc<GatewayState>);

impl InFlight {
    pub(crate) fn new(state: &Rc<GatewayState>) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        state.has_received_request.set(true);
        Self(Rc::clone(state))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Counts a caller's connection as open until it is dropped.
pub(crate) struct OpenConnection(Rc<GatewayState>);

impl OpenConnection {
    pub(crate) fn new(state: &Rc<GatewayState>) -> Self {
        state.connections.set(state.connections.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Counts an attempt in the load of its upstream until it is dropped.
pub(crate) struct UpstreamWork {
    state: Rc<GatewayState>,
    pub(crate) key: UpstreamKey,
    prefill_tokens: u64,
}

impl UpstreamWork {
    pub(crate) fn new(state: &Rc<GatewayState>, key: UpstreamKey, prefill_tokens: u64) -> Self {
        if let Some(upstream) = state.table.borrow_mut().get_mut(key) {
            upstream.in_flight += 1;
            upstream.prefill_tokens += prefill_tokens;
        }
        Self {
            state: Rc::clone(state),
            key,
            prefill_tokens,
        }
    }

    /// Removes the prompt tokens from the upstream's load after the prefill.
    pub(crate) fn end_prefill(&mut self) {
        if let Some(upstream) = self.state.table.borrow_mut().get_mut(self.key) {
            upstream.prefill_tokens -= self.prefill_tokens;
        }
        self.prefill_tokens = 0;
    }
}

impl Drop for UpstreamWork {
    fn drop(&mut self) {
        self.end_prefill();
        if let Some(upstream) = self.state.table.borrow_mut().get_mut(self.key) {
            upstream.in_flight -= 1;
        }
    }
}

/// A request whose answer is awaited, until it is dropped.
pub(crate) struct AwaitedAnswer {
    state: Rc<GatewayState>,
    upstream: UpstreamKey,
    has_come: bool,
}

impl AwaitedAnswer {
    pub(crate) fn new(state: &Rc<GatewayState>, upstream: UpstreamKey) -> Self {
        if let Some(one) = state.table.borrow_mut().get_mut(upstream) {
            one.record_send(clock::now());
        }
        Self {
            state: Rc::clone(state),
            upstream,
            has_come: false,
        }
    }

    /// Records that the head of the response has arrived.
    pub(crate) fn end(mut self) {
        self.has_come = true;
    }
}

impl Drop for AwaitedAnswer {
    fn drop(&mut self) {
        let mut table = self.state.table.borrow_mut();
        match table.get_mut(self.upstream) {
            Some(one) if self.has_come => one.record_answer(clock::now()),
            Some(one) => one.record_unanswered(clock::now()),
            None => {}
        }
    }
}
