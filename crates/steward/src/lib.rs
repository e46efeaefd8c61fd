//! The steward daemon.
