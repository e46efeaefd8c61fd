//! Configuration changes by operators, and explanations of decisions for them.
//!
//! Operators' input is validated before it is put in force, and output for
//! operators is formatted for people. A change takes three steps, each of which
//! can be retried after a lost response: a questionnaire is parsed into a
//! [`Draft`], the draft is stored as a [`Proposal`], and accepting the proposal
//! replaces the manifest if no one else has changed the same chunk since the
//! proposal was made. A configuration is in force once it is the platform's
//! current manifest.
//!
//! Each daemon keeps a [`DecisionLog`] and serves it with [`operator_routes`].

mod admin;
mod caller_key;
mod decision;
mod decision_log;
mod decision_text;
mod description;
mod editor;
mod proposal;
mod questionnaire;
mod routes;
mod store;

pub use admin::{AdminAddress, AdminClient, ExplainReport, StatusReport};
pub use caller_key::CallerKey;
pub use decision::{
    Decision, DecisionAuthority, DecisionStep, DecisionSubject, Evidence, HoldReason,
};
pub use decision_log::{DecisionLog, ExplainQuery, RecordedDecision};
pub use description::{ChunkDifference, ValueChange, key_id};
pub use editor::{AcceptOutcome, ConfigurationEditor, EditError, StoredProposal};
pub use proposal::{Draft, ParseProposalError, Proposal, ProposalCheck, ProposalId};
pub use questionnaire::{
    AnswerProblem, KnownUpstreams, QuestionnaireError, QuestionnaireKind, read_questionnaire,
};
pub use routes::{ProcessStatus, operator_routes};
