//! Tests of the operators' side.

mod decision_log;
mod proposal;
mod questionnaire;
