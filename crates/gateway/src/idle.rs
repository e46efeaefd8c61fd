//! Decides when a caller's connection has been idle for too long.
//!
//! Callers reuse connections according to the idle timeout in force, which a change of
//! the configuration may raise or lower while a connection is idle. The longer one of
//! both applies then, so that no connection is closed that its caller may still use.

use crate::clock;
use crate::state::GatewayState;
use lagoonlift_policy::Timestamp;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Idle timeout until a configuration sets one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval at which the idle timeout of the configuration is read again.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What one caller's connection is used for.
pub(crate) struct ConnectionUse {
    state: Rc<GatewayState>,
    requests: Cell<u32>,
    has_had_request: Cell<bool>,
    idle_since: Cell<Timestamp>,
    /// Longest idle timeout that was in force since `idle_since`.
    idle_timeout: Cell<Duration>,
}

/// Counts a request on a connection until it is dropped.
pub(crate) struct RequestInUse(Rc<ConnectionUse>);

impl ConnectionUse {
    /// Creates the use of a connection that was just accepted.
    pub(crate) fn new(state: &Rc<GatewayState>) -> Rc<Self> {
        Rc::new(Self {
            state: Rc::clone(state),
            requests: Cell::new(0),
            has_had_request: Cell::new(false),
            idle_since: Cell::new(clock::now()),
            idle_timeout: Cell::new(current_idle_timeout(state)),
        })
    }

    /// Records that a request begins.
    pub(crate) fn begin_request(self: &Rc<Self>) -> RequestInUse {
        self.requests.set(self.requests.get() + 1);
        self.has_had_request.set(true);
        RequestInUse(Rc::clone(self))
    }

    /// Returns whether any request has begun. A request ends before the last bytes of its
    /// response have been written.
    pub(crate) fn has_had_request(&self) -> bool {
        self.has_had_request.get()
    }

    /// Waits until the connection has been idle for too long.
    pub(crate) async fn expired(&self) {
        loop {
            let timeout = current_idle_timeout(&self.state).max(self.idle_timeout.get());
            self.idle_timeout.set(timeout);
            let idle_time = clock::now().since(self.idle_since.get());
            let time_left = timeout.saturating_sub(idle_time);
            match self.requests.get() > 0 {
                true => sleep(CHECK_INTERVAL).await,
                false if time_left.is_zero() => return,
                false => sleep(time_left.min(CHECK_INTERVAL)).await,
            }
        }
    }
}

impl Drop for RequestInUse {
    fn drop(&mut self) {
        let connection = &self.0;
        connection.requests.set(connection.requests.get() - 1);
        connection.idle_since.set(clock::now());
        connection
            .idle_timeout
            .set(current_idle_timeout(&connection.state));
    }
}

fn current_idle_timeout(state: &GatewayState) -> Duration {
    let limits = state.config().map(|config| config.limits());
    limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout)
}
