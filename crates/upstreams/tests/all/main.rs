//! Tests of the upstream clients.

mod decoder;
mod endless;
mod odd_answers;
