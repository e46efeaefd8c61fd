//! Settings of the operators' commands.
//!
//! Operators write to the platform with their own token, and query hosts on their
//! admin addresses. Neither is in a host's settings file.

use crate::document::{SectionReader, SettingsDocument, read_text};
use crate::load::read_platform;
use crate::{PlatformSettings, SettingsError};
use lagoonlift_types::HostName;
use std::net::SocketAddr;
use std::path::Path;

/// Settings of the operators' commands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// `[platform]`: address of the platform's services, and the operator's token.
    pub platform: PlatformSettings,
    /// `[admin.NAME]`: hosts whose status and decisions are queried.
    pub hosts: Vec<AdminHost>,
}

/// A host whose status and decisions are queried on its admin addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminHost {
    /// Its name, from the section name.
    pub name: HostName,
    /// `entry`: admin address of its entry daemon.
    pub entry: Option<SocketAddr>,
    /// `steward`: admin address of its steward daemon.
    pub steward: Option<SocketAddr>,
}

impl OperatorSettings {
    /// Reads and validates the settings in `file`.
    ///
    /// # Errors
    ///
    /// Fails on the first setting that is unknown, missing, duplicate or invalid. The
    /// error names the file, the section and the key.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        Self::parse(file, &read_text(file)?)
    }

    /// Parses and validates `text`, the content of `file`.
    ///
    /// # Errors
    ///
    /// See [`OperatorSettings::load`].
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let mut document = SettingsDocument::parse(file, text)?;
        let platform = read_platform(document.require("platform")?)?;
        let hosts = document.take_all("admin.").into_iter();
        let hosts: Result<Vec<AdminHost>, SettingsError> = hosts
            .map(|(name, section)| read_host(&name, section))
            .collect();
        document.finish()?;
        Ok(Self {
            platform,
            hosts: hosts?,
        })
    }
}

fn read_host(name: &str, mut section: SectionReader) -> Result<AdminHost, SettingsError> {
    let name = HostName::new(name).map_err(|error| section.section_error(error.to_string()))?;
    let host = AdminHost {
        name,
        entry: section.take("entry")?,
        steward: section.take("steward")?,
    };
    if host.entry.is_none() && host.steward.is_none() {
        return Err(section.section_error("neither `entry` nor `steward` has an address"));
    }
    section.finish()?;
    Ok(host)
}
