//! What goes into the keeper and what comes out of it.

use super::{LeaseRecord, Predecessor};
use lagoonlift_platform::Version;

/// The lease as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLease {
    /// The record.
    pub record: LeaseRecord,
    /// Version of the object.
    pub version: Version,
}

/// Why a call gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The object has changed; this is what it is now.
    Conflict(Option<Box<StoredLease>>),
    /// The call certainly had no effect.
    NotApplied,
    /// The call may have taken effect, or may still.
    Lost,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time passed.
    Woken,
    /// The read that was asked for ended.
    Read(Result<Option<Box<StoredLease>>, CallFailure>),
    /// The write that was asked for ended.
    Written(Result<Version, CallFailure>),
    /// Whether this process should follow the lease closely.
    CandidateChanged(bool),
    /// These predecessors have stopped for good.
    Resolved(Vec<Predecessor>),
    /// Give the lease up; nothing of ours is under way any more.
    Released,
}

/// What is to be done. At most one call is under way at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the object.
    Read,
    /// Write the object, if it has this version, or doesn't exist if `None`.
    Write {
        /// The value.
        record: LeaseRecord,
        /// The condition.
        condition: Option<Version>,
    },
}
