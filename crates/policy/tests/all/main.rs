//! The policies keep their promises under arbitrary events.

mod entry;
mod fairness;
mod fleet;
mod support;
