//! Reads single answers and collects what is wrong with them.

use super::AnswerProblem;
use ini::Ini;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// Longest answer that is repeated in a problem's text, in characters.
const MAX_QUOTED: usize = 40;

/// An answer to a question.
pub(super) trait Answer: Sized {
    /// What a valid answer looks like.
    const FORM: &'static str;

    /// Reads the answer; fails with what is wrong, if more can be said than
    /// that it is not of this form.
    fn read(text: &str) -> Result<Self, Option<String>>;
}

/// Reads the answers of one file.
#[derive(Debug)]
pub(super) struct AnswerReader<'a> {
    ini: &'a Ini,
    asked: BTreeSet<(String, String)>,
    problems: Vec<AnswerProblem>,
}

impl<'a> AnswerReader<'a> {
    pub(super) fn new(ini: &'a Ini) -> Self {
        Self {
            ini,
            asked: BTreeSet::new(),
            problems: Vec::new(),
        }
    }

    /// Returns the names of the sections `[kind.NAME]`, in the file's order.
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
                Err(error) => self.problem(section, format!("the name {error}")),
            }
        }
        found
    }

    /// Reads an answer that must be given.
    pub(super) fn required<T: Answer>(&mut self, section: &str, key: &str) -> Option<T> {
        match self.text(section, key) {
            None => {
                self.problem(
                    &format!("{section}.{key}"),
                    format!("needs an answer: {}", T::FORM),
                );
                None
            }
            Some(text) => self.parse(section, key, text),
        }
    }

    /// Reads an answer that may be left empty. A wrong answer counts as `usual`
    /// while the others are read; it is reported all the same.
    pub(super) fn or_usual<T: Answer>(&mut self, section: &str, key: &str, usual: T) -> T {
        match self.text(section, key) {
            None => usual,
            Some(text) => self.parse(section, key, text).unwrap_or(usual),
        }
    }

    /// Reads an answer that may be left empty.
    pub(super) fn optional<T: Answer>(&mut self, section: &str, key: &str) -> Option<T> {
        let text = self.text(section, key)?;
        self.parse(section, key, text)
    }

    /// Reports a problem with a question.
    pub(super) fn problem(&mut self, question: &str, text: String) {
        self.problems.push(AnswerProblem {
            question: question.to_owned(),
            text,
        });
    }

    /// Returns all problems, those of unknown questions included.
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
                if !self.asked.contains(&(section.to_owned(), key.to_owned())) {
                    self.problems.push(AnswerProblem {
                        question,
                        text: "is not a question of this questionnaire".to_owned(),
                    });
                }
            }
        }
        self.problems
    }

    fn text(&mut self, section: &str, key: &str) -> Option<&'a str> {
        self.asked.insert((section.to_owned(), key.to_owned()));
        let text = self.ini.get_from(Some(section), key)?.trim();
        (!text.is_empty()).then_some(text)
    }

    fn parse<T: Answer>(&mut self, section: &str, key: &str, text: &str) -> Option<T> {
        match T::read(text) {
            Ok(answer) => Some(answer),
            Err(detail) => {
                let quoted: String = text.chars().take(MAX_QUOTED).collect();
                let text = match detail {
                    Some(detail) => detail,
                    None => format!("`{quoted}` must be {}", T::FORM),
                };
                self.problem(&format!("{section}.{key}"), text);
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
    const FORM: &'static str = "`yes` or `no`";

    fn read(text: &str) -> Result<Self, Option<String>> {
        match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(None),
        }
    }
}

impl Answer for u32 {
    const FORM: &'static str = "a whole number";

    fn read(text: &str) -> Result<Self, Option<String>> {
        text.parse().map_err(|_| None)
    }
}

impl Answer for SocketAddr {
    const FORM: &'static str = "an IP address and a port, such as 192.0.2.7:8080";

    fn read(text: &str) -> Result<Self, Option<String>> {
        text.parse().map_err(|_| None)
    }
}

/// A rate above zero.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate(pub(super) f64);

impl Answer for Rate {
    const FORM: &'static str = "a number above 0, such as 2.5";

    fn read(text: &str) -> Result<Self, Option<String>> {
        match text.parse() {
            Ok(rate) if rate > 0.0 && f64::is_finite(rate) => Ok(Self(rate)),
            _ => Err(None),
        }
    }
}

impl Answer for Duration {
    const FORM: &'static str = "a time above 0, such as 8s or 10m";

    fn read(text: &str) -> Result<Self, Option<String>> {
        match humantime::parse_duration(text) {
            Ok(duration) if !duration.is_zero() => Ok(duration),
            _ => Err(None),
        }
    }
}

/// One name.
#[derive(Clone, Debug)]
pub(super) struct Name<T>(pub(super) T);

impl<T> Answer for Name<T>
where
    T: FromStr,
    T::Err: Display,
{
    const FORM: &'static str = "a name of a-z, 0-9, '.', '_' and '-'";

    fn read(text: &str) -> Result<Self, Option<String>> {
        let name = text
            .parse()
            .map_err(|error: T::Err| Some(error.to_string()));
        name.map(Self)
    }
}

/// Names separated by commas.
#[derive(Clone, Debug)]
pub(super) struct Names<T>(pub(super) BTreeSet<T>);

impl<T> Answer for Names<T>
where
    T: FromStr + Ord,
    T::Err: Display,
{
    const FORM: &'static str = "names, separated by commas";

    fn read(text: &str) -> Result<Self, Option<String>> {
        let names = text.split(',').map(|name| name.trim().parse());
        let names: Result<BTreeSet<T>, T::Err> = names.collect();
        match names {
            Ok(names) => Ok(Self(names)),
            Err(error) => Err(Some(error.to_string())),
        }
    }
}
