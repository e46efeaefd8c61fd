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
    NotHolder,
    /// The cursor has to be read.
    ReadingCursor,
    /// There is no cursor yet; it begins once it is known what is due.
    NoCursor,
    /// The cursor is being written.
    WritingCursor {
        cursor: SealCursor,
        condition: Option<Version>,
    },
    /// Everything up to the cursor is reported.
    Reported(StoredCursor),
    /// The next window is due; its seal may exist.
    Reading(StoredCursor),
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
            step: Step::NotHolder,
        }
    }

    /// Takes in one event.
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
            // It may or may not exist now.
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

    /// Returns the next call; the same one until its answer comes in.
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

    /// Begins with the next window if it is due.
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
