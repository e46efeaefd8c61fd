//! Converts completed questionnaires into drafts of configuration chunks.
//!
//! Teams know their traffic but not the system's settings, and operators who
//! translate one into the other by hand make mistakes that are found only in
//! production. A questionnaire is an INI file whose comments explain every
//! question. All problems of a file are reported together, each with the name of
//! its question, so that one round of corrections is enough.

mod answers;
mod data_centre;
mod route;
mod workspace;

use crate::proposal::Draft;
use answers::AnswerReader;
use ini::Ini;
use lagoonlift_types::{ModelName, UpstreamName};
use std::collections::BTreeSet;
use std::fmt;
use thiserror::Error;

/// Kind of a questionnaire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuestionnaireKind {
    /// A workspace: its models, classes, routes and rate limits.
    Workspace,
    /// A data centre: its upstreams and the number of upstreams that may be ordered.
    DataCentre,
}

/// Names in the configuration in force to which answers may refer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownUpstreams {
    /// Models that some engine serves or can load, in any data centre.
    pub models: BTreeSet<ModelName>,
    /// Plain services of all data centres.
    pub services: BTreeSet<UpstreamName>,
}

/// An invalid, missing or contradictory answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerProblem {
    /// The question as `section.key`, or a section name.
    pub question: String,
    /// What is wrong, and what a valid answer looks like.
    pub text: String,
}

impl fmt::Display for AnswerProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.question, self.text)
    }
}

/// Error of reading a questionnaire.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum QuestionnaireError {
    /// The text is not valid INI.
    #[error("line {line}: {text}")]
    Syntax {
        /// Line number, starting at 1.
        line: usize,
        /// Message of the INI parser.
        text: String,
    },
    /// The file has neither or both of the sections `[workspace]` and
    /// `[data-centre]`.
    #[error("the file must have either a section [workspace] or a section [data-centre]")]
    Kind,
    /// Answers are invalid, missing or contradict each other.
    #[error("{}", joined_lines(.0))]
    Answers(Vec<AnswerProblem>),
}

fn joined_lines(problems: &[AnswerProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(AnswerProblem::to_string).collect();
    lines.join("\n")
}

impl QuestionnaireKind {
    /// Returns the empty questionnaire, an INI file with comments.
    pub fn template(self) -> &'static str {
        match self {
            Self::Workspace => include_str!("workspace.ini"),
            Self::DataCentre => include_str!("data-centre.ini"),
        }
    }
}

/// Reads a completed questionnaire and returns a draft. Answers may refer to the
/// models and services in `known`.
///
/// # Errors
///
/// Fails when the text is not valid INI or its kind is unclear, or with every
/// invalid, missing or contradictory answer.
pub fn read_questionnaire(text: &str, known: &KnownUpstreams) -> Result<Draft, QuestionnaireError> {
    let ini = Ini::load_from_str_noescape(text).map_err(|error| QuestionnaireError::Syntax {
        line: error.line,
        text: error.msg.into_owned(),
    })?;
    let has_section = |section| ini.section(Some(section)).is_some();
    let mut reader = AnswerReader::new(&ini);
    let draft = match (has_section("workspace"), has_section("data-centre")) {
        (true, false) => workspace::read(&mut reader, known),
        (false, true) => data_centre::read(&mut reader),
        (true, true) | (false, false) => return Err(QuestionnaireError::Kind),
    };
    report_duplicate_sections(&mut reader, text);
    match (reader.finish(), draft) {
        (problems, Some(draft)) if problems.is_empty() => Ok(draft),
        (problems, _) => Err(QuestionnaireError::Answers(problems)),
    }
}

/// Reports sections that occur several times. The INI parser merges them, so that
/// a duplicate would go unnoticed.
fn report_duplicate_sections(reader: &mut AnswerReader<'_>, text: &str) {
    let mut seen = BTreeSet::new();
    for line in text.lines() {
        let section = line
            .trim()
            .strip_prefix('[')
            .and_then(|l| l.strip_suffix(']'));
        match section.map(str::trim) {
            Some(section) if !seen.insert(section) => {
                reader.report_problem(section, "the section is there more than once".to_owned());
            }
            _ => {}
        }
    }
}
