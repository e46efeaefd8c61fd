//! From plain answers to a proposed part of the configuration.
//!
//! Teams know their traffic, not the system's settings; an operator who has to
//! translate by hand makes mistakes that surface at night. The questionnaire is
//! a commented INI file that asks everything it needs in the file itself. All
//! faults of a file are reported together, each by its question's name, so that
//! one round of corrections is enough.

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

/// Which questionnaire a new file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuestionnaireKind {
    /// A workspace: who may call, what it may use, how urgent its classes are.
    Workspace,
    /// A data centre's upstreams and spending.
    DataCentre,
}

/// What is in force that answers may refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownUpstreams {
    /// Models that an engine of any data centre serves or can load.
    pub models: BTreeSet<ModelName>,
    /// Plain services of all data centres.
    pub services: BTreeSet<UpstreamName>,
}

/// One wrong, missing or contradictory answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerProblem {
    /// The question, as `section.key`, or the section alone.
    pub question: String,
    /// What is wrong and what would be right.
    pub text: String,
}

impl fmt::Display for AnswerProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.question, self.text)
    }
}

/// Answers from which no proposal can be made.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum QuestionnaireError {
    /// The file is not INI text.
    #[error("line {line}: {text}")]
    Syntax {
        /// Line number, from 1.
        line: usize,
        /// What the parser found.
        text: String,
    },
    /// Neither `[workspace]` nor `[data-centre]` is there, or both are.
    #[error("the file must have either a section [workspace] or a section [data-centre]")]
    Kind,
    /// Answers are wrong, missing or contradict each other.
    #[error("{}", lines(.0))]
    Answers(Vec<AnswerProblem>),
}

fn lines(problems: &[AnswerProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(AnswerProblem::to_string).collect();
    lines.join("\n")
}

impl QuestionnaireKind {
    /// Returns the commented file to be filled in.
    pub fn template(self) -> &'static str {
        match self {
            Self::Workspace => include_str!("workspace.ini"),
            Self::DataCentre => include_str!("data-centre.ini"),
        }
    }
}

/// Turns the answers of a filled-in questionnaire into a draft.
///
/// # Errors
///
/// Fails with every wrong, missing or contradictory answer of the file.
pub fn read_questionnaire(text: &str, known: &KnownUpstreams) -> Result<Draft, QuestionnaireError> {
    let ini = Ini::load_from_str_noescape(text).map_err(|error| QuestionnaireError::Syntax {
        line: error.line,
        text: error.msg.into_owned(),
    })?;
    let has = |section| ini.section(Some(section)).is_some();
    let mut reader = AnswerReader::new(&ini);
    let draft = match (has("workspace"), has("data-centre")) {
        (true, false) => workspace::read(&mut reader, known),
        (false, true) => data_centre::read(&mut reader),
        (true, true) | (false, false) => return Err(QuestionnaireError::Kind),
    };
    report_repeated_sections(&mut reader, text);
    match (reader.finish(), draft) {
        (problems, Some(draft)) if problems.is_empty() => Ok(draft),
        (problems, _) => Err(QuestionnaireError::Answers(problems)),
    }
}

/// The parser merges sections of one name; one of them would go unnoticed.
fn report_repeated_sections(reader: &mut AnswerReader<'_>, text: &str) {
    let mut seen = BTreeSet::new();
    for line in text.lines() {
        let section = line
            .trim()
            .strip_prefix('[')
            .and_then(|l| l.strip_suffix(']'));
        match section.map(str::trim) {
            Some(section) if !seen.insert(section) => {
                reader.problem(section, "the section is there more than once".to_owned());
            }
            _ => {}
        }
    }
}
