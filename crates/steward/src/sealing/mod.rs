//! Seals and reports usage windows.
//!
//! A usage report may be repeated by any lease holder and must have the same
//! figures each time. A seal therefore fixes the figures of a window. It is an
//! object that is created only if absent, before the first report, and every report
//! is made from it.
//!
//! A window is a time interval of the data centre, identified by a
//! [`WindowId`](lagoonlift_types::WindowId). A closed window is the object with the
//! usage that one process recorded in one window, a
//! [`UsageWindow`](lagoonlift_usage::UsageWindow). A window thus has a closed window
//! for each process that recorded usage in it.
//!
//! A seal covers the closed windows of its own window that were written up to the
//! version recorded in the seal, and those of earlier windows that were written
//! after the previous seal's version. Each closed window is thus covered exactly
//! once, by the seal of its own window or, if it was written after that seal's
//! version, by a later one. Seals are created in order without gaps, and a cursor
//! records the last window reported.

mod machine;
mod record;
mod runner;

pub use machine::{
    SealAction, SealCallFailure, SealCreateOutcome, SealEvent, SealStateMachine, StoredCursor,
};
pub use record::{SealContents, SealCursor, SealRecord};
pub(crate) use runner::{SealContext, SealRunner};
