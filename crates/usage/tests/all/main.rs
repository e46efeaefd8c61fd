//! Tests of usage records and their windows.

mod recorders;
mod schedules;
mod support;
