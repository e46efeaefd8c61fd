//! Tests of configuration changes and explanations for operators.

mod decision_log;
mod editor;
mod proposal;
mod questionnaire;
