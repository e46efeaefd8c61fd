//! The policies keep their promises under arbitrary events.

mod dispatch;
mod entry;
mod fairness;
mod fleet;
mod support;
