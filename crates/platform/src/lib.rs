//! Client of the platform's services.
//!
//! The processes of this system use the platform to agree on shared state and to
//! store it durably. Their guarantees depend on what they may conclude from a
//! failed call, so each error says whether the call had no effect or may have had
//! one. The client never retries by itself, because only its user knows whether
//! a retry is safe.
//!
//! The messages in [`wire`] are generated from `schema/platform.json` with
//! `cargo typify -B -d PartialEq -o src/generated.rs schema/platform.json`.

mod client;
mod error;
mod objects;

/// The platform's JSON messages, generated from their schema.
#[expect(missing_docs, reason = "generated code")]
#[expect(unused_qualifications, reason = "generated code")]
#[path = "generated.rs"]
pub mod wire;

pub use client::PlatformClient;
pub use error::PlatformError;
pub use objects::{ObjectChanges, ObjectList, Version, VersionedObject};
