//! Tests of the settings.

mod errors;
mod operator;
mod values;
