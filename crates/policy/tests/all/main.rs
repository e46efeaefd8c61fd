//! Property and unit tests of the policies.

mod dispatch;
mod entry;
mod fairness;
mod fleet;
mod support;
