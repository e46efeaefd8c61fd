//! Clients of model engines and plain services.
//!
//! A caller may safely retry a request that we report as "not run", so that
//! report must always be true. The users of this crate don't see its sockets, so
//! its errors ([`SendError`]) say whether any byte of a request may have reached
//! an upstream. For the same reason it never retries by itself: it follows no
//! redirects and disables the retries of the HTTP client. Non-idempotent requests
//! belong on a fresh connection ([`ConnectionUse::Fresh`]), never on a pooled one
//! that the upstream may be closing at that moment.

mod body;
mod connection;
mod engine;
mod error;
mod event;
mod orders;
mod report;
mod service;
mod stream;
mod upload;

pub use connection::{ConnectionUse, UpstreamConnections};
pub use engine::{ATTEMPT_HEADER, ChatCall, EngineClient, PRIORITY_HEADER, REQUEST_HEADER};
pub use error::{SendError, StreamError};
pub use event::{EventDecoder, EventTooLarge};
pub use orders::{EngineChange, EngineOrder, EngineStatus, OrderError, OrderProgress};
pub use report::{CacheEvent, CacheEvents, EngineLoad};
pub use service::{ServiceCall, ServiceClient, ServiceResponse};
pub use stream::{EngineEvent, EngineStream};
