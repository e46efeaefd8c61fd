//! The operators' side: questionnaire, proposal, acceptance and explanation.
//!
//! Operators are a peer like any other: what they send is checked before it is
//! put in force, and what they are shown is made for reading. A change passes
//! three steps, each of which can be repeated after a lost answer: a
//! questionnaire becomes a [`Proposal`], the proposal is stored, and accepting
//! it replaces the manifest on the condition that nobody else has changed the
//! same part since.
//!
//! The daemons keep a [`DecisionLog`] and serve it with [`operator_routes`].

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
