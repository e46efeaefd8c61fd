//! The INI text as sections of keys, each to be taken once.
//!
//! A key that nobody takes is a key that nobody knows: the reader takes what it
//! understands, and what is left over is reported as unknown.

use crate::SettingsError;
use ini::Ini;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

/// A settings file of which every key is still to be taken.
#[derive(Debug)]
pub(crate) struct SettingsDocument {
    file: PathBuf,
    sections: BTreeMap<String, SectionReader>,
}

/// One section; knows the file so that its errors can name it.
#[derive(Debug)]
pub(crate) struct SectionReader {
    file: PathBuf,
    name: String,
    values: BTreeMap<String, String>,
}

impl SettingsDocument {
    /// Parses `text`, which came from `file`.
    pub(crate) fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        check_sections_once(file, text)?;
        let ini = Ini::load_from_str_noescape(text).map_err(|error| SettingsError::Syntax {
            file: file.to_owned(),
            line: error.line,
            detail: error.msg.into_owned(),
        })?;
        let mut sections = BTreeMap::new();
        for (name, properties) in &ini {
            let name = match name {
                Some(name) => name.to_owned(),
                None if properties.is_empty() => continue,
                None => return Err(outside_section(file, properties.iter().next())),
            };
            let mut section = SectionReader {
                file: file.to_owned(),
                name: name.clone(),
                values: BTreeMap::new(),
            };
            for (key, value) in properties.iter() {
                section.insert(key, value)?;
            }
            sections.insert(name, section);
        }
        Ok(Self {
            file: file.to_owned(),
            sections,
        })
    }

    /// Takes the section, or fails because it has to be there.
    pub(crate) fn require(&mut self, name: &str) -> Result<SectionReader, SettingsError> {
        self.take(name).ok_or_else(|| SettingsError::Section {
            file: self.file.clone(),
            section: name.to_owned(),
            detail: "the section is missing".to_owned(),
        })
    }

    /// Takes the section if it is there.
    pub(crate) fn take(&mut self, name: &str) -> Option<SectionReader> {
        self.sections.remove(name)
    }

    /// Takes all sections whose name begins with `prefix`; returns the rest of
    /// each name with its section.
    pub(crate) fn take_all(&mut self, prefix: &str) -> Vec<(String, SectionReader)> {
        let names: Vec<String> = self
            .sections
            .keys()
            .filter(|name| name.starts_with(prefix))
            .cloned()
            .collect();
        names
            .into_iter()
            .filter_map(|name| Some((name[prefix.len()..].to_owned(), self.take(&name)?)))
            .collect()
    }

    /// Returns an empty section, for one that may be left out altogether.
    pub(crate) fn empty(&self, name: &str) -> SectionReader {
        SectionReader {
            file: self.file.clone(),
            name: name.to_owned(),
            values: BTreeMap::new(),
        }
    }

    /// Fails if a section is left that nobody took.
    pub(crate) fn finish(self) -> Result<(), SettingsError> {
        match self.sections.into_keys().next() {
            None => Ok(()),
            Some(section) => Err(SettingsError::Section {
                file: self.file,
                section,
                detail: "no such section is known".to_owned(),
            }),
        }
    }
}

impl SectionReader {
    fn insert(&mut self, key: &str, value: &str) -> Result<(), SettingsError> {
        match self.values.insert(key.to_owned(), value.trim().to_owned()) {
            None => Ok(()),
            Some(_) => Err(self.key_error(key, "the key stands twice")),
        }
    }

    /// Returns an error about `key` of this section.
    pub(crate) fn key_error(&self, key: &str, detail: impl Into<String>) -> SettingsError {
        SettingsError::Key {
            file: self.file.clone(),
            section: self.name.clone(),
            key: key.to_owned(),
            detail: detail.into(),
        }
    }

    /// Returns an error about this section as a whole.
    pub(crate) fn section_error(&self, detail: impl Into<String>) -> SettingsError {
        SettingsError::Section {
            file: self.file.clone(),
            section: self.name.clone(),
            detail: detail.into(),
        }
    }

    /// Takes a value that has to be there.
    pub(crate) fn require<T: SettingValue>(&mut self, key: &str) -> Result<T, SettingsError> {
        match self.take(key)? {
            Some(value) => Ok(value),
            None => Err(self.key_error(key, format!("is missing; expected {}", T::EXPECTED))),
        }
    }

    /// Takes a value if it is there.
    pub(crate) fn take<T: SettingValue>(&mut self, key: &str) -> Result<Option<T>, SettingsError> {
        let Some(text) = self.values.remove(key) else {
            return Ok(None);
        };
        match T::parse(&text) {
            Ok(value) => Ok(Some(value)),
            Err(detail) => {
                let shown = if T::SECRET { "the value" } else { &text };
                let detail = format!("`{shown}`: expected {}{detail}", T::EXPECTED);
                Err(self.key_error(key, detail))
            }
        }
    }

    /// Treats keys without a value as left out.
    pub(crate) fn drop_empty(&mut self) {
        self.values.retain(|_, value| !value.is_empty());
    }

    /// Fails if a key is left that nobody took.
    pub(crate) fn finish(self) -> Result<(), SettingsError> {
        match self.values.keys().next() {
            None => Ok(()),
            Some(key) => Err(self.key_error(key, "no such key is known in this section")),
        }
    }
}

/// Returns the text of a settings file.
pub(crate) fn read_text(file: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(file).map_err(|source| SettingsError::Read {
        file: file.to_owned(),
        source,
    })
}

/// A type that a setting can have.
pub(crate) trait SettingValue: Sized {
    /// What is expected, for the error.
    const EXPECTED: &'static str;

    /// Whether the text must not be repeated in an error.
    const SECRET: bool = false;

    /// Parses the value; the error is appended to what was expected.
    fn parse(text: &str) -> Result<Self, String>;
}

impl SettingValue for SocketAddr {
    const EXPECTED: &'static str = "an IP number with a port, such as 127.0.0.1:8080";

    fn parse(text: &str) -> Result<Self, String> {
        Self::from_str(text).map_err(|_| String::new())
    }
}

impl SettingValue for Duration {
    const EXPECTED: &'static str = "a time with its unit, such as 500ms, 10s or 2m";

    fn parse(text: &str) -> Result<Self, String> {
        match humantime::parse_duration(text) {
            Ok(duration) if duration.is_zero() => Err(" above zero".to_owned()),
            Ok(duration) => Ok(duration),
            Err(_) => parse_fraction(text).ok_or_else(String::new),
        }
    }
}

/// Parses a time with a fraction, such as 2.5s.
fn parse_fraction(text: &str) -> Option<Duration> {
    let (number, unit_s) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let seconds = number.parse::<f64>().ok()? * unit_s;
    let duration = Duration::try_from_secs_f64(seconds).ok()?;
    (!duration.is_zero()).then_some(duration)
}

impl SettingValue for String {
    const EXPECTED: &'static str = "a text that is not empty";

    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "" => Err(String::new()),
            _ => Ok(text.to_owned()),
        }
    }
}

fn outside_section(file: &Path, property: Option<(&str, &str)>) -> SettingsError {
    let key = property.map(|(key, _)| key).unwrap_or_default();
    SettingsError::Key {
        file: file.to_owned(),
        section: String::new(),
        key: key.to_owned(),
        detail: "the key stands before the first section".to_owned(),
    }
}

/// The parser merges sections of one name; a host listed twice must not be.
fn check_sections_once(file: &Path, text: &str) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for line in text.lines() {
        let name = line
            .trim()
            .strip_prefix('[')
            .and_then(|l| l.strip_suffix(']'));
        let repeated = name.is_some_and(|name| !seen.insert(name.trim()));
        if repeated {
            return Err(SettingsError::Section {
                file: file.to_owned(),
                section: name.unwrap_or_default().trim().to_owned(),
                detail: "the section stands twice".to_owned(),
            });
        }
    }
    Ok(())
}
