//! Decides the next step of sealing and reporting.
//!
//! Invariant, on which billing relies: a report is made only from a seal that
//! the platform holds, never from figures of this process's own.

use super::{SealContents, SealCursor, SealRecord};
use lagoonlift_platform::Version;
use lagoonlift_types::{Epoch, WindowId};

/// The cursor as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredCursor {
    /// The cursor.
    pub cursor: SealCursor,
    /// Version of the object.
    pub version: Version,
}

/// A call that gave no usable answer, whether it took effect or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealCallFailure;

/// What became of the creation of a seal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealCreateOutcome {
    /// The platform holds this process's seal.
    Created,
    /// The platform holds another one.
    Exists(SealRecord),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealEvent {
    /// The lease was gained. Forgets whatever was known.
    LeaseGranted(Epoch),
    /// The lease has ended.
    LeaseEnded,
    /// Windows up to this one may be sealed.
    WindowDue(WindowId),
    /// The cursor was read.
    CursorRead(Result<Option<StoredCursor>, SealCallFailure>),
    /// The cursor was written.
    CursorWritten(Result<Version, SealCallFailure>),
    /// The seal was read.
    SealRead(Result<Option<SealRecord>, SealCallFailure>),
    /// The closed windows were read.
    WindowsCollected(Result<SealContents, SealCallFailure>),
    /// The seal was created or found.
    SealCreated(Result<SealCreateOutcome, SealCallFailure>),
    /// The report was accepted, or there is nothing to report.
    Reported(Result<(), SealCallFailure>),
}

/// The next call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealAction {
    /// Read the cursor.
    ReadCursor,
    /// Write the cursor, if it has this version, or doesn't exist if `None`.
    WriteCursor {
        /// The value.
        cursor: SealCursor,
        /// The condition.
        condition: Option<Version>,
    },
    /// Read the seal of a window.
    ReadSeal(WindowId),
    /// Read the closed windows that a seal is to cover.
    CollectWindows {
        /// The window to seal.
        window: WindowId,
        /// The version that the seal before covers.
        after: Version,
    },
    /// Create the seal.
    CreateSeal(SealRecord),
    /// Report the seal's figures.
    Report(SealRecord),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// Not in charge.
    Idle,
    /// The cursor has to be read.
    Unknown,
    /// There is no cursor yet; it begins once it is known what is due.
    Absent,
    /// The cursor is being written.
    Writing {
        cursor: SealCursor,
        condition: Option<Version>,
    },
    /// Everything up to the cursor is reported.
    Reported(StoredCursor),
    /// The next window is due; its seal may exist.
    Looking(StoredCursor),
    /// The next window has no seal.
    Collecting(StoredCursor),
    /// The seal is being created.
    Creating(StoredCursor, SealRecord),
    /// The platform holds this seal.
    Reporting(StoredCursor, SealRecord),
}

/// Keeps one holder's side of sealing one data centre's windows.
#[derive(Clone, Debug)]
pub struct SealStateMachine {
    epoch: Epoch,
    due: Option<WindowId>,
    step: Step,
}

impl Default for SealStateMachine {
    fn default() -> Self {
        Self::new()
    }
}

impl SealStateMachine {
    /// Creates a journal that isn't in charge.
    pub fn new() -> Self {
        Self {
            epoch: Epoch(0),
            due: None,
            step: Step::Idle,
        }
    }

    /// Takes in one event.
    pub fn handle(&mut self, event: SealEvent) {
        let step = std::mem::replace(&mut self.step, Step::Idle);
        let step = match (step, event) {
            (_, SealEvent::LeaseGranted(epoch)) => {
                self.epoch = epoch;
                Step::Unknown
            }
            (_, SealEvent::LeaseEnded) => Step::Idle,
            (step, SealEvent::WindowDue(window)) => {
                self.due = self.due.max(Some(window));
                step
            }
            (Step::Unknown, SealEvent::CursorRead(Ok(stored))) => {
                stored.map_or(Step::Absent, Step::Reported)
            }
            (Step::Writing { cursor, .. }, SealEvent::CursorWritten(Ok(version))) => {
                Step::Reported(StoredCursor { cursor, version })
            }
            (Step::Writing { .. }, SealEvent::CursorWritten(Err(_))) => Step::Unknown,
            (Step::Looking(at), SealEvent::SealRead(Ok(seal))) => match seal {
                Some(seal) => Step::Reporting(at, seal),
                None => Step::Collecting(at),
            },
            (Step::Collecting(at), SealEvent::WindowsCollected(Ok(collection))) => {
                Step::Creating(at, self.seal(at, collection))
            }
            (Step::Creating(at, seal), SealEvent::SealCreated(Ok(created))) => match created {
                SealCreateOutcome::Created => Step::Reporting(at, seal),
                SealCreateOutcome::Exists(other) => Step::Reporting(at, other),
            },
            // It may or may not exist now.
            (Step::Creating(at, _), SealEvent::SealCreated(Err(_))) => Step::Looking(at),
            (Step::Reporting(at, seal), SealEvent::Reported(Ok(()))) => Step::Writing {
                cursor: SealCursor {
                    window: seal.window,
                    through: seal.through,
                },
                condition: Some(at.version),
            },
            (step, _) => step,
        };
        self.step = self.begin_due(step);
    }

    /// Returns the next call; the same one until its answer comes in.
    pub fn action(&self) -> Option<SealAction> {
        match &self.step {
            Step::Idle | Step::Absent | Step::Reported(_) => None,
            Step::Unknown => Some(SealAction::ReadCursor),
            Step::Writing { cursor, condition } => Some(SealAction::WriteCursor {
                cursor: *cursor,
                condition: *condition,
            }),
            Step::Looking(at) => Some(SealAction::ReadSeal(next_window(at))),
            Step::Collecting(at) => Some(SealAction::CollectWindows {
                window: next_window(at),
                after: at.cursor.through,
            }),
            Step::Creating(_, seal) => Some(SealAction::CreateSeal(seal.clone())),
            Step::Reporting(_, seal) => Some(SealAction::Report(seal.clone())),
        }
    }

    fn seal(&self, at: StoredCursor, collection: SealContents) -> SealRecord {
        SealRecord {
            window: next_window(&at),
            epoch: self.epoch,
            through: collection.through,
            lines: collection.lines,
            late: collection.late,
        }
    }

    /// Begins with the next window if it is due.
    fn begin_due(&self, step: Step) -> Step {
        match (step, self.due) {
            (Step::Absent, Some(due)) => Step::Writing {
                cursor: SealCursor {
                    window: WindowId(due.0.saturating_sub(1)),
                    through: Version(0),
                },
                condition: None,
            },
            (Step::Reported(at), Some(due)) if next_window(&at) <= due => Step::Looking(at),
            (step, _) => step,
        }
    }
}

fn next_window(at: &StoredCursor) -> WindowId {
    WindowId(at.cursor.window.0 + 1)
}
