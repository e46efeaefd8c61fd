//! Client of the platform's services.
//!
//! Everything that the system has to agree on or to keep goes through the
//! platform. What a caller may conclude from a call that failed decides whether
//! a promise holds, so the errors say precisely that: whether the call
//! certainly had no effect, or may have had one. The client never repeats a
//! call by itself; only its user knows whether a repeat is harmless.
//!
//! The messages in [`wire`] are generated from `schema/platform.json` with
//! `cargo typify -B -d PartialEq -o src/generated.rs schema/platform.json`.

mod client;
mod error;
mod objects;

/// The platform's messages, generated from its schema.
#[expect(missing_docs, reason = "generated code")]
#[expect(unused_qualifications, reason = "generated code")]
#[path = "generated.rs"]
pub mod wire;

pub use client::PlatformClient;
pub use error::PlatformError;
pub use objects::{ObjectChanges, ObjectList, Version, VersionedObject};
