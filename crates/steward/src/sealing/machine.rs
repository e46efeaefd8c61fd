//! Decides the next step of sealing and reporting usage windows.
//!
//! The code does no I/O. Billing relies on this invariant: a usage report is made
//! only from a seal that the platform stores, never from figures that only this
//! process has.

use super::{SealContents, SealCursor, SealRecord};
use lagoonlift_platform::Version;
use lagoonlift_types::{Epoch, WindowId};

/// A cursor with the version of its object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredCursor {
    /// The parsed contents of the object.
    pub cursor: SealCursor,
    /// The object's version, the condition of the next write.
    pub version: Version,
}

/// A failed call, which may have taken effect or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealCallFailure;

/// Outcome of creating a seal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealCreateOutcome {
    /// The platform stored this process's seal.
    Created,
    /// The platform already stores this seal for the window.
    Exists(SealRecord),
}

/// An input of the seal state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealEvent {
    /// The lease was acquired. Discards the current step.
    LeaseGranted(Epoch),
    /// The lease has ended.
    LeaseEnded,
    /// Windows up to and including this one may be sealed.
    WindowDue(WindowId),
    /// The read of the cursor completed. `None` stands for an object that doesn't
    /// exist.
    CursorRead(Result<Option<StoredCursor>, SealCallFailure>),
    /// The write of the cursor completed. Holds the object's new version.
    CursorWritten(Result<Version, SealCallFailure>),
    /// The read of the seal completed. `None` stands for an object that doesn't
    /// exist.
    SealRead(Result<Option<SealRecord>, SealCallFailure>),
    /// The read of the closed windows completed.
    WindowsCollected(Result<SealContents, SealCallFailure>),
    /// The creation of the seal completed.
    SealCreated(Result<SealCreateOutcome, SealCallFailure>),
    /// The report was accepted, or the seal has nothing to report.
    Reported(Result<(), SealCallFailure>),
}

/// The next call to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealAction {
    /// Read the cursor.
    ReadCursor,
    /// Write the cursor conditionally.
    WriteCursor {
        /// The cursor to write.
        cursor: SealCursor,
        /// The version that the object must have. `None` requires that it doesn't
        /// exist.
        condition: Option<Version>,
    },
    /// Read the seal of a window.
    ReadSeal(WindowId),
    /// Read the closed windows that a seal covers.
    CollectWindows {
        /// The window to seal.
        window: WindowId,
        /// The version up to which the previous seal covers closed windows.
        after: Version,
    },
    /// Create the seal.
    CreateSeal(SealRecord),
    /// Send the seal's figures as a usage report.
    Report(SealRecord),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// This process doesn't hold the lease.
    NotHolder,
    /// The cursor is being read.
    ReadingCursor,
    /// There is no cursor yet. It is created once a window is due.
    NoCursor,
    /// The cursor is being written.
    WritingCursor {
        cursor: SealCursor,
        condition: Option<Version>,
    },
    /// All windows up to the cursor are reported.
    Reported(StoredCursor),
    /// The next window is due, and its seal, which may exist, is being read.
    Reading(StoredCursor),
    /// The next window has no seal, and its closed windows are being read.
    Collecting(StoredCursor),
    /// The seal is being created.
    Creating(StoredCursor, SealRecord),
    /// The platform stores this seal, and it is being reported.
    Reporting(StoredCursor, SealRecord),
}

/// State machine of one lease holder for sealing the windows of one data centre.
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
    /// Creates a state machine that doesn't hold the lease.
    pub fn new() -> Self {
        Self {
            epoch: Epoch(0),
            due: None,
            step: Step::NotHolder,
        }
    }

    /// Handles one event. Events that don't fit the current step are ignored.
    pub fn handle(&mut self, event: SealEvent) {
        let step = std::mem::replace(&mut self.step, Step::NotHolder);
        let step = match (step, event) {
            (_, SealEvent::LeaseGranted(epoch)) => {
                self.epoch = epoch;
                Step::ReadingCursor
            }
            (_, SealEvent::LeaseEnded) => Step::NotHolder,
            (step, SealEvent::WindowDue(window)) => {
                self.due = self.due.max(Some(window));
                step
            }
            (Step::ReadingCursor, SealEvent::CursorRead(Ok(stored))) => {
                stored.map_or(Step::NoCursor, Step::Reported)
            }
            (Step::WritingCursor { cursor, .. }, SealEvent::CursorWritten(Ok(version))) => {
                Step::Reported(StoredCursor { cursor, version })
            }
            (Step::WritingCursor { .. }, SealEvent::CursorWritten(Err(_))) => Step::ReadingCursor,
            (Step::Reading(last), SealEvent::SealRead(Ok(seal))) => match seal {
                Some(seal) => Step::Reporting(last, seal),
                None => Step::Collecting(last),
            },
            (Step::Collecting(last), SealEvent::WindowsCollected(Ok(contents))) => {
                Step::Creating(last, self.seal(last, contents))
            }
            (Step::Creating(last, seal), SealEvent::SealCreated(Ok(created))) => match created {
                SealCreateOutcome::Created => Step::Reporting(last, seal),
                SealCreateOutcome::Exists(other) => Step::Reporting(last, other),
            },
            // The seal may exist or not, so it is read again.
            (Step::Creating(last, _), SealEvent::SealCreated(Err(_))) => Step::Reading(last),
            (Step::Reporting(last, seal), SealEvent::Reported(Ok(()))) => Step::WritingCursor {
                cursor: SealCursor {
                    window: seal.window,
                    through: seal.through,
                },
                condition: Some(last.version),
            },
            (step, _) => step,
        };
        self.step = self.begin_due(step);
    }

    /// Returns the next call. It stays the same until an event changes the step.
    pub fn action(&self) -> Option<SealAction> {
        match &self.step {
            Step::NotHolder | Step::NoCursor | Step::Reported(_) => None,
            Step::ReadingCursor => Some(SealAction::ReadCursor),
            Step::WritingCursor { cursor, condition } => Some(SealAction::WriteCursor {
                cursor: *cursor,
                condition: *condition,
            }),
            Step::Reading(last) => Some(SealAction::ReadSeal(next_window(last))),
            Step::Collecting(last) => Some(SealAction::CollectWindows {
                window: next_window(last),
                after: last.cursor.through,
            }),
            Step::Creating(_, seal) => Some(SealAction::CreateSeal(seal.clone())),
            Step::Reporting(_, seal) => Some(SealAction::Report(seal.clone())),
        }
    }

    fn seal(&self, last: StoredCursor, contents: SealContents) -> SealRecord {
        SealRecord {
            window: next_window(&last),
            epoch: self.epoch,
            through: contents.through,
            lines: contents.lines,
            late: contents.late,
        }
    }

    /// Starts with the next window if it is due.
    fn begin_due(&self, step: Step) -> Step {
        match (step, self.due) {
            (Step::NoCursor, Some(due)) => Step::WritingCursor {
                cursor: SealCursor {
                    window: WindowId(due.0.saturating_sub(1)),
                    through: Version(0),
                },
                condition: None,
            },
            (Step::Reported(last), Some(due)) if next_window(&last) <= due => Step::Reading(last),
            (step, _) => step,
        }
    }
}

fn next_window(last: &StoredCursor) -> WindowId {
    WindowId(last.cursor.window.0 + 1)
}
