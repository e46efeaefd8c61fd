//! Tests of the operators' side.

mod decision_log;
mod editor;
mod proposal;
mod questionnaire;
