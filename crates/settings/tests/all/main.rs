//! Tests of the settings.

mod errors;
mod gateway;
mod operator;
mod values;
