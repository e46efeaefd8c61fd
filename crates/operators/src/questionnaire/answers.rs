//! Parses the answers of a questionnaire and collects their problems.

use super::AnswerProblem;
use ini::Ini;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// Maximum number of characters of an answer that are quoted in a problem.
const MAX_QUOTED_CHARS: usize = 40;

/// A type of answer.
pub(super) trait Answer: Sized {
    /// Description of a valid answer.
    const EXPECTED: &'static str;

    /// Parses an answer. The error is a description of the problem, or `None` if
    /// the answer just doesn't have the expected form.
    fn parse(text: &str) -> Result<Self, Option<String>>;
}

/// Reads the answers of one file and collects the problems found.
#[derive(Debug)]
pub(super) struct AnswerReader<'a> {
    ini: &'a Ini,
    known_questions: BTreeSet<(String, String)>,
    problems: Vec<AnswerProblem>,
}

impl<'a> AnswerReader<'a> {
    pub(super) fn new(ini: &'a Ini) -> Self {
        Self {
            ini,
            known_questions: BTreeSet::new(),
            problems: Vec::new(),
        }
    }

    /// Returns each section `[kind.NAME]` as its full name and its parsed `NAME`, in
    /// alphabetical order. Reports sections whose `NAME` is invalid.
    pub(super) fn sections<T>(&mut self, kind: &str) -> Vec<(String, T)>
    where
        T: FromStr,
        T::Err: Display,
    {
        let mut found = Vec::new();
        let sections: BTreeSet<&str> = self.ini.sections().flatten().collect();
        for section in sections {
            let Some(name) = section.strip_prefix(kind).and_then(|s| s.strip_prefix('.')) else {
                continue;
            };
            match name.parse() {
                Ok(name) => found.push((section.to_owned(), name)),
                Err(error) => self.report_problem(section, format!("the name {error}")),
            }
        }
        found
    }

    /// Reads a required answer. Reports a problem and returns `None` if it is missing
    /// or invalid.
    pub(super) fn required<T: Answer>(&mut self, section: &str, key: &str) -> Option<T> {
        match self.answer_text(section, key) {
            None => {
                self.report_problem(
                    &format!("{section}.{key}"),
                    format!("needs an answer: {}", T::EXPECTED),
                );
                None
            }
            Some(text) => self.parse(section, key, text),
        }
    }

    /// Reads an optional answer; returns `default` if it is missing. Reports an
    /// invalid answer and returns `default`, so that the other answers can still be
    /// checked.
    pub(super) fn optional_or<T: Answer>(&mut self, section: &str, key: &str, default: T) -> T {
        match self.answer_text(section, key) {
            None => default,
            Some(text) => self.parse(section, key, text).unwrap_or(default),
        }
    }

    /// Reads an optional answer; returns `None` if it is missing. Reports an invalid
    /// answer and returns `None`.
    pub(super) fn optional<T: Answer>(&mut self, section: &str, key: &str) -> Option<T> {
        let text = self.answer_text(section, key)?;
        self.parse(section, key, text)
    }

    /// Adds a problem with a question.
    pub(super) fn report_problem(&mut self, question: &str, text: String) {
        self.problems.push(AnswerProblem {
            question: question.to_owned(),
            text,
        });
    }

    /// Returns all problems, including duplicate answers and answers to questions
    /// that the questionnaire doesn't have.
    pub(super) fn finish(mut self) -> Vec<AnswerProblem> {
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            let keys: BTreeSet<&str> = properties.iter().map(|(key, _)| key).collect();
            for key in keys {
                let question = question(section, key);
                if properties.get_all(key).count() > 1 {
                    self.problems.push(AnswerProblem {
                        question: question.clone(),
                        text: "is answered more than once".to_owned(),
                    });
                }
                if !self
                    .known_questions
                    .contains(&(section.to_owned(), key.to_owned()))
                {
                    self.problems.push(AnswerProblem {
                        question,
                        text: "is not a question of this questionnaire".to_owned(),
                    });
                }
            }
        }
        self.problems
    }

    fn answer_text(&mut self, section: &str, key: &str) -> Option<&'a str> {
        self.known_questions
            .insert((section.to_owned(), key.to_owned()));
        let text = self.ini.get_from(Some(section), key)?.trim();
        (!text.is_empty()).then_some(text)
    }

    fn parse<T: Answer>(&mut self, section: &str, key: &str, text: &str) -> Option<T> {
        match T::parse(text) {
            Ok(answer) => Some(answer),
            Err(detail) => {
                let quoted: String = text.chars().take(MAX_QUOTED_CHARS).collect();
                let text = match detail {
                    Some(detail) => detail,
                    None => format!("`{quoted}` must be {}", T::EXPECTED),
                };
                self.report_problem(&format!("{section}.{key}"), text);
                None
            }
        }
    }
}

fn question(section: &str, key: &str) -> String {
    match section {
        "" => key.to_owned(),
        section => format!("{section}.{key}"),
    }
}

impl Answer for bool {
    const EXPECTED: &'static str = "`yes` or `no`";

    fn parse(text: &str) -> Result<Self, Option<String>> {
        match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(None),
        }
    }
}

impl Answer for u32 {
    const EXPECTED: &'static str = "a whole number";

    fn parse(text: &str) -> Result<Self, Option<String>> {
        text.parse().map_err(|_| None)
    }
}

impl Answer for SocketAddr {
    const EXPECTED: &'static str = "an IP address and a port, such as 192.0.2.7:8080";

    fn parse(text: &str) -> Result<Self, Option<String>> {
        text.parse().map_err(|_| None)
    }
}

/// A finite rate per second, greater than zero.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate(pub(super) f64);

impl Answer for Rate {
    const EXPECTED: &'static str = "a number above 0, such as 2.5";

    fn parse(text: &str) -> Result<Self, Option<String>> {
        match text.parse() {
            Ok(rate) if rate > 0.0 && f64::is_finite(rate) => Ok(Self(rate)),
            _ => Err(None),
        }
    }
}

impl Answer for Duration {
    const EXPECTED: &'static str = "a time above 0, such as 8s or 10m";

    fn parse(text: &str) -> Result<Self, Option<String>> {
        match humantime::parse_duration(text) {
            Ok(duration) if !duration.is_zero() => Ok(duration),
            _ => Err(None),
        }
    }
}

/// A name.
#[derive(Clone, Debug)]
pub(super) struct Name<T>(pub(super) T);

impl<T> Answer for Name<T>
where
    T: FromStr,
    T::Err: Display,
{
    const EXPECTED: &'static str = "a name of a-z, 0-9, '.', '_' and '-'";

    fn parse(text: &str) -> Result<Self, Option<String>> {
        let name = text
            .parse()
            .map_err(|error: T::Err| Some(error.to_string()));
        name.map(Self)
    }
}

/// Comma-separated names.
#[derive(Clone, Debug)]
pub(super) struct Names<T>(pub(super) BTreeSet<T>);

impl<T> Answer for Names<T>
where
    T: FromStr + Ord,
    T::Err: Display,
{
    const EXPECTED: &'static str = "names, separated by commas";

    fn parse(text: &str) -> Result<Self, Option<String>> {
        let names = text.split(',').map(|name| name.trim().parse());
        let names: Result<BTreeSet<T>, T::Err> = names.collect();
        match names {
            Ok(names) => Ok(Self(names)),
            Err(error) => Err(Some(error.to_string())),
        }
    }
}
