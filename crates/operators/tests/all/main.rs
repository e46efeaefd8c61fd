//! Tests of the operators' side.

mod proposal;
mod questionnaire;
