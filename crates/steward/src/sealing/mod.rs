//! Sealing and reporting of usage windows.
//!
//! The figures of a window are fixed by an object that is created only if
//! absent, before the first report, and every report is made from that object.
//! So whoever reports, however often, reports the same.
//!
//! Which closed windows of processes a seal covers follows from the version at
//! which each was written: those of its own window up to the version noted in
//! the seal, and of earlier windows those that came after the seal before it.
//! Each is covered exactly once, by its own window's seal or, if it came late,
//! by a later one. Seals are made one after the other, without gaps; a cursor
//! says how far they are reported.

mod machine;
mod record;
mod runner;

pub use machine::{
    SealAction, SealCallFailure, SealCreateOutcome, SealEvent, SealStateMachine, StoredCursor,
};
pub use record::{SealContents, SealCursor, SealRecord};
pub(crate) use runner::{SealContext, SealRunner};
