//! Settings of the operators' command.
//!
//! Operators write to the platform with a token of their own, and ask hosts on
//! their admin addresses. None of it is in a host's settings file.

use crate::document::{SectionReader, SettingsDocument, read_text};
use crate::load::read_platform;
use crate::{PlatformSettings, SettingsError};
use lagoonlift_types::HostName;
use std::net::SocketAddr;
use std::path::Path;

/// All settings of the operators' command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// `[platform]`: where the platform's services are, and the operator's token.
    pub platform: PlatformSettings,
    /// `[admin.NAME]`: hosts that are asked for their status and decisions.
    pub hosts: Vec<AdminHost>,
}

/// A host that is asked for its status and decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminHost {
    /// Its name, from the section.
    pub name: HostName,
    /// `entry`: admin address of its entry daemon.
    pub entry: Option<SocketAddr>,
    /// `steward`: admin address of its steward daemon.
    pub steward: Option<SocketAddr>,
}

impl OperatorSettings {
    /// Reads and checks the settings in `file`.
    ///
    /// # Errors
    ///
    /// Fails on the first setting that is unknown, missing, repeated or wrong,
    /// and names the file, the section and the key.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        Self::parse(file, &read_text(file)?)
    }

    /// Checks the settings in `text`, which came from `file`.
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
