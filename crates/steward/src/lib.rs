//! The steward daemon.
//!
//! Every host runs a steward, and in each data centre one of them holds the
//! lease. Only the holder gives orders to engines, orders upstreams and reports
//! usage; a process that has lost the lease can do none of that any more,
//! however late it notices. All that a steward knows it can read again from the
//! platform, so any other can take its place.

mod candidate;
mod configuration;
mod steward;

pub use steward::Steward;
