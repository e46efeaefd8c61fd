//! Parses INI text into sections whose keys are removed as they are read.
//!
//! A program reads the sections and keys that it knows. Those that remain
//! afterwards are unknown, and are reported as errors.

use crate::SettingsError;
use ini::Ini;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

/// The sections of a settings file that haven't been read yet.
#[derive(Debug)]
pub(crate) struct SettingsDocument {
    file: PathBuf,
    sections: BTreeMap<String, SectionReader>,
}

/// The keys of a section that haven't been read yet. The file path is for error
/// messages.
#[derive(Debug)]
pub(crate) struct SectionReader {
    file: PathBuf,
    name: String,
    values: BTreeMap<String, String>,
}

impl SettingsDocument {
    /// Parses `text`, the content of `file`.
    pub(crate) fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        reject_duplicate_sections(file, text)?;
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
                None => return Err(outside_section_error(file, properties.iter().next())),
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

    /// Removes and returns a required section; fails if it is missing.
    pub(crate) fn require(&mut self, name: &str) -> Result<SectionReader, SettingsError> {
        self.take(name).ok_or_else(|| SettingsError::Section {
            file: self.file.clone(),
            section: name.to_owned(),
            detail: "the section is missing".to_owned(),
        })
    }

    /// Removes and returns an optional section.
    pub(crate) fn take(&mut self, name: &str) -> Option<SectionReader> {
        self.sections.remove(name)
    }

    /// Removes all sections whose name starts with `prefix`; returns each section
    /// with its name after the prefix.
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

    /// Returns an empty section, in place of an optional section that is missing.
    pub(crate) fn empty(&self, name: &str) -> SectionReader {
        SectionReader {
            file: self.file.clone(),
            name: name.to_owned(),
            values: BTreeMap::new(),
        }
    }

    /// Fails if a section hasn't been read, because it is unknown.
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

    /// Returns an error for `key` in this section.
    pub(crate) fn key_error(&self, key: &str, detail: impl Into<String>) -> SettingsError {
        SettingsError::Key {
            file: self.file.clone(),
            section: self.name.clone(),
            key: key.to_owned(),
            detail: detail.into(),
        }
    }

    /// Returns an error for this section as a whole.
    pub(crate) fn section_error(&self, detail: impl Into<String>) -> SettingsError {
        SettingsError::Section {
            file: self.file.clone(),
            section: self.name.clone(),
            detail: detail.into(),
        }
    }

    /// Removes and parses a required value; fails if it is missing or invalid.
    pub(crate) fn require<T: SettingValue>(&mut self, key: &str) -> Result<T, SettingsError> {
        match self.take(key)? {
            Some(value) => Ok(value),
            None => Err(self.key_error(key, format!("is missing; expected {}", T::EXPECTED))),
        }
    }

    /// Removes and parses an optional value; fails if it is invalid.
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

    /// Removes the keys whose value is empty, so that they count as missing.
    pub(crate) fn remove_empty(&mut self) {
        self.values.retain(|_, value| !value.is_empty());
    }

    /// Fails if a key hasn't been read, because it is unknown.
    pub(crate) fn finish(self) -> Result<(), SettingsError> {
        match self.values.keys().next() {
            None => Ok(()),
            Some(key) => Err(self.key_error(key, "no such key is known in this section")),
        }
    }
}

/// Reads the text of a settings file.
pub(crate) fn read_text(file: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(file).map_err(|source| SettingsError::Read {
        file: file.to_owned(),
        source,
    })
}

/// A type that can be parsed from the value of a setting.
pub(crate) trait SettingValue: Sized {
    /// Description of a valid value, for error messages.
    const EXPECTED: &'static str;

    /// Whether the value must not appear in error messages.
    const SECRET: bool = false;

    /// Parses a value. The error text is appended to `EXPECTED` in the error message.
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

/// Parses a duration in `s` or `ms` with a fraction, such as 2.5s. Returns `None` if
/// the text is invalid or the duration is zero.
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
    const EXPECTED: &'static str = "a non-empty text";

    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "" => Err(String::new()),
            _ => Ok(text.to_owned()),
        }
    }
}

fn outside_section_error(file: &Path, property: Option<(&str, &str)>) -> SettingsError {
    let key = property.map(|(key, _)| key).unwrap_or_default();
    SettingsError::Key {
        file: file.to_owned(),
        section: String::new(),
        key: key.to_owned(),
        detail: "the key stands before the first section".to_owned(),
    }
}

/// Fails if a section occurs twice. The INI parser would merge the two, so that a
/// host that is listed twice would go unnoticed.
fn reject_duplicate_sections(file: &Path, text: &str) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for line in text.lines() {
        let name = line
            .trim()
            .strip_prefix('[')
            .and_then(|l| l.strip_suffix(']'));
        let is_duplicate = name.is_some_and(|name| !seen.insert(name.trim()));
        if is_duplicate {
            return Err(SettingsError::Section {
                file: file.to_owned(),
                section: name.unwrap_or_default().trim().to_owned(),
                detail: "the section stands twice".to_owned(),
            });
        }
    }
    Ok(())
}
