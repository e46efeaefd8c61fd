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
pub enum LeaseCallFailure {
    /// The object has changed; this is what it is now.
    Conflict(Option<Box<StoredLease>>),
    /// The call certainly had no effect.
    NotApplied,
    /// The call may have taken effect, or may still.
    OutcomeUnknown,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time passed.
    TimerFired,
    /// The read that was asked for ended.
    ReadCompleted(Result<Option<Box<StoredLease>>, LeaseCallFailure>),
    /// The write that was asked for ended.
    WriteCompleted(Result<Version, LeaseCallFailure>),
    /// Whether this process should follow the lease closely.
    CandidateChanged(bool),
    /// These predecessors have stopped for good.
    PredecessorsStopped(Vec<Predecessor>),
    /// Give the lease up; nothing of ours is under way any more.
    ReleaseRequested,
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
