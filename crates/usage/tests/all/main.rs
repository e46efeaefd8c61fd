//! Tests of usage records and their windows.

mod keepers;
mod schedules;
mod support;
