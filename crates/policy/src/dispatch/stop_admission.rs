//! Which requests a host that stops may still begin.
//!
//! The load that it answers: a host is asked to stop while callers go on sending requests, on
//! kept connections and until the load balancer has noticed. What is begun and hasn't ended when
//! the process does is cut, and callers can't repeat it if it may run only once. A host therefore
//! begins only what ends before it does: by the time that the caller or the route allows, or by
//! the times that the route's responses took lately. The baselines are to begin everything,
//! which cuts the long ones, and to begin only what the timeout allows, which refuses the short
//! ones of routes with a long timeout.

use crate::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Time after which the longest response of a route is forgotten, at the latest twice as long.
const WINDOW: Duration = Duration::from_secs(30);

/// Largest number of routes whose responses are known.
const MAX_ROUTES: usize = 20_000;

/// Factor by which a request that may run only once must be shorter than what is left: it is
/// worse to cut it than to refuse it.
const ONCE_MARGIN: f64 = 1.5;

/// The longest responses of one route, in this window and the one before.
#[derive(Clone, Copy, Debug, Default)]
struct RouteTimes {
    since: Timestamp,
    longest: Duration,
    earlier: Option<Duration>,
}

/// What is known of a request that a stopping host may begin.
#[derive(Clone, Copy, Debug)]
pub struct LateRequest<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// Time for which its caller and its route let it take.
    pub allowed: Duration,
    /// Whether it may run more than once.
    pub may_repeat: bool,
}

/// How long responses took lately, by route.
#[derive(Clone, Debug, Default)]
pub struct StopAdmission {
    routes: HashMap<String, RouteTimes>,
}

impl StopAdmission {
    /// Creates an instance that knows no responses.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a whole response of `route` has ended `duration` after its request arrived.
    pub fn record_response(&mut self, now: Timestamp, route: &str, duration: Duration) {
        if let Some(times) = self.routes.get_mut(route) {
            times.record(now, duration);
        } else if self.routes.len() < MAX_ROUTES {
            let times = RouteTimes {
                since: now,
                longest: duration,
                earlier: None,
            };
            self.routes.insert(route.to_owned(), times);
        }
    }

    /// Returns whether a request ends before `ends_by`, when this host does, as far as is known.
    pub fn may_begin(&self, now: Timestamp, ends_by: Timestamp, request: LateRequest<'_>) -> bool {
        let left = ends_by.since(now);
        if request.allowed <= left {
            return true;
        }
        let margin = match request.may_repeat {
            true => 1.0,
            false => ONCE_MARGIN,
        };
        let known = self.routes.get(request.route);
        known
            .and_then(|times| times.longest(now))
            .is_some_and(|longest| longest.mul_f64(margin) <= left)
    }
}

impl RouteTimes {
    fn record(&mut self, now: Timestamp, duration: Duration) {
        if now.since(self.since) >= WINDOW {
            self.earlier = self.longest(now);
            self.longest = Duration::ZERO;
            self.since = now;
        }
        self.longest = self.longest.max(duration);
    }

    /// Returns the longest response of this window and the one before; `None` if there was none
    /// for so long.
    fn longest(&self, now: Timestamp) -> Option<Duration> {
        let age = now.since(self.since);
        let known = self.earlier.unwrap_or_default().max(self.longest);
        match age {
            _ if age < WINDOW => Some(known),
            _ if age < 2 * WINDOW => Some(self.longest),
            _ => None,
        }
    }
}
