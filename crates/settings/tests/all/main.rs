//! Tests of the settings.

mod errors;
mod values;
