//! Inputs and outputs of the lease state machine.

use super::{LeaseRecord, Predecessor};
use lagoonlift_platform::Version;
use lagoonlift_types::Epoch;

/// The lease record with the version of its object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLease {
    /// The parsed contents of the object.
    pub record: LeaseRecord,
    /// The object's version, the condition of the next write.
    pub version: Version,
}

/// Why a call for the lease object failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCallFailure {
    /// The write's condition failed. Holds the current object, or `None` if there
    /// is none.
    Conflict(Option<Box<StoredLease>>),
    /// The call had no effect and won't have one, for a reason other than a failed
    /// condition. For example, the platform couldn't be reached or refused the call.
    NotApplied,
    /// The call may have taken effect or may do so later.
    OutcomeUnknown,
}

/// An input of the lease state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The time of [`wake_at`](super::LeaseStateMachine::wake_at) was reached.
    TimerFired,
    /// The requested read completed. `None` stands for an object that doesn't
    /// exist.
    ReadCompleted(Result<Option<Box<StoredLease>>, LeaseCallFailure>),
    /// The requested write completed. Holds the object's new version.
    WriteCompleted(Result<Version, LeaseCallFailure>),
    /// This process became (`true`) or is no longer (`false`) a candidate. A candidate
    /// reads the lease more often; other processes may take it over as well.
    CandidateChanged(bool),
    /// These predecessors are resolved: they are taken to send no more orders of their
    /// epoch.
    PredecessorsResolved(Vec<Predecessor>),
    /// The store was restored from a copy. The lease object and its versions are gone,
    /// and so are all calls of this state machine; their results must not be passed in
    /// any more. The object that is read and written from now on is another one, which
    /// no call from before the restore can reach.
    StoreRestored {
        /// Epochs from now on exceed this one, which exceeds all that may have been used
        /// before the restore.
        epoch_floor: Epoch,
    },
    /// The lease is to be released. No order of this process is in flight.
    ReleaseRequested,
}

/// A call to perform. At most one is in flight at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease object.
    Read,
    /// Write the lease object conditionally.
    Write {
        /// The record to write.
        record: LeaseRecord,
        /// The version that the object must have. `None` requires that it doesn't
        /// exist.
        condition: Option<Version>,
    },
}
