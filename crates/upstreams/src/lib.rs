//! Clients of model engines and plain services.
//!
//! The promise that "not run" is true is made here: this package alone sees
//! sockets, so it alone says whether any byte of a request may have reached an
//! upstream ([`SendError`]). It never repeats a call by itself: no redirects,
//! no retries by the HTTP library, and work that may not be repeated goes out
//! on a connection of its own, never on a pooled one that the upstream may be
//! closing at the same moment.

mod connection;
mod engine;
mod error;
mod event;
mod orders;
mod report;
mod service;
mod stream;

pub use connection::{ConnectionUse, UpstreamConnections};
pub use engine::{ATTEMPT_HEADER, ChatCall, EngineClient, PRIORITY_HEADER, REQUEST_HEADER};
pub use error::{SendError, StreamError};
pub use event::{EventDecoder, EventTooLarge};
pub use orders::{EngineChange, EngineOrder, EngineStatus, OrderError, OrderProgress};
pub use report::{CacheEvent, CacheEvents, EngineLoad};
pub use service::{ServiceCall, ServiceClient, ServiceResponse};
pub use stream::{EngineEvent, EngineStream};
