//! Which exchanges a connection has carried.
//!
//! A faulty server may send a response once more, at the point where a later one is expected.
//! Only the identifier of the request tells the two apart, but all attempts of a request share
//! it, and control calls have none. A connection therefore carries each identifier at most
//! once, and a response with that identifier can only answer the one exchange that had it.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Exchanges after which a connection isn't reused, which bounds what is kept of them.
const MAX_EXCHANGES: usize = 1_000;

/// What tells the response to a call from other responses on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exchange {
    /// The digest of the request's identifier, which the response repeats.
    Request(u64),
    /// A control call to an upstream. Its response has no identifier.
    Control,
    /// A call to the store or the platform, which answer each call once, and nothing on a
    /// connection on which a response is lost. Source: the platform's protocol.
    Platform,
}

impl Exchange {
    /// Returns the exchange of a request with the identifier `request_id`.
    pub(crate) fn of_request(request_id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        request_id.hash(&mut hasher);
        Self::Request(hasher.finish())
    }
}

/// The exchanges of one connection.
#[derive(Debug, Default)]
pub(crate) struct CarriedExchanges {
    requests: Vec<u64>,
    control_calls: usize,
    platform_calls: usize,
}

impl CarriedExchanges {
    /// Returns whether the connection may carry `exchange`, so that no response to an earlier
    /// one can be taken for the response to it.
    pub(crate) fn may_carry(&self, exchange: Exchange) -> bool {
        match exchange {
            Exchange::Request(digest) => !self.requests.contains(&digest),
            Exchange::Control => self.control_calls == 0,
            Exchange::Platform => true,
        }
    }

    /// Records that the connection carries `exchange` now.
    pub(crate) fn record(&mut self, exchange: Exchange) {
        match exchange {
            Exchange::Request(digest) => self.requests.push(digest),
            Exchange::Control => self.control_calls += 1,
            Exchange::Platform => self.platform_calls += 1,
        }
    }

    /// Returns the number of exchanges.
    pub(crate) fn len(&self) -> usize {
        self.requests.len() + self.control_calls + self.platform_calls
    }

    /// Returns whether the connection takes another request or control call.
    pub(crate) fn has_room(&self) -> bool {
        self.requests.len() + self.control_calls < MAX_EXCHANGES
    }
}
