//! What the operators' commands have in common: arguments and settings.

use eyre::Result;
use lagoonlift::operators::{AdminAddress, AdminClient, ConfigurationEditor};
use lagoonlift::platform::PlatformClient;
use lagoonlift::settings::{AdminHost, OperatorSettings};
use lagoonlift::types::{ProcessId, ProcessRole};
use lexopt::prelude::*;
use std::path::{Path, PathBuf};

/// Arguments of an operator's command.
#[derive(Debug)]
pub(crate) struct OperatorArguments {
    settings: PathBuf,
    /// Arguments that are not options.
    pub(crate) values: Vec<String>,
    /// Whether `--wait` was given.
    pub(crate) wait: bool,
}

impl OperatorArguments {
    /// Reads the arguments; `None` when help is asked for.
    pub(crate) fn parse(mut parser: lexopt::Parser) -> Result<Option<Self>, lexopt::Error> {
        let mut settings = None;
        let mut values = Vec::new();
        let mut wait = false;
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(None),
                Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
                Long("wait") => wait = true,
                Value(value) => values.push(value.string()?),
                other => return Err(other.unexpected()),
            }
        }
        let settings = settings.ok_or("--settings FILE is missing")?;
        Ok(Some(Self {
            settings,
            values,
            wait,
        }))
    }

    /// Returns the only value that was given.
    pub(crate) fn only_value(&self, what: &str) -> Result<&str, lexopt::Error> {
        match self.values.as_slice() {
            [value] => Ok(value),
            [] => Err(format!("{what} is missing; see --help").into()),
            [_, other, ..] => Err(format!("`{other}` is one argument too many").into()),
        }
    }

    /// Returns the editor with the operator's own token.
    pub(crate) fn editor(&self) -> Result<ConfigurationEditor> {
        Ok(ConfigurationEditor::new(self.client()?))
    }

    /// Returns the platform's client with the operator's own token.
    pub(crate) fn client(&self) -> Result<PlatformClient> {
        let platform = load(&self.settings)?.platform;
        let address = platform.address;
        Ok(PlatformClient::new(
            address,
            platform.token,
            platform.timeout,
        ))
    }

    /// Returns the client of all hosts that the settings name.
    pub(crate) fn admin(&self) -> Result<AdminClient> {
        let settings = load(&self.settings)?;
        let addresses = settings.hosts.into_iter().flat_map(processes);
        Ok(AdminClient::new(addresses.collect())?)
    }
}

fn load(file: &Path) -> Result<OperatorSettings> {
    Ok(OperatorSettings::load(file)?)
}

fn processes(host: AdminHost) -> Vec<AdminAddress> {
    let roles = [
        (ProcessRole::Entry, host.entry),
        (ProcessRole::Steward, host.steward),
    ];
    let processes = roles.into_iter().filter_map(|(role, address)| {
        let process = ProcessId {
            host: host.name.clone(),
            role,
        };
        Some(AdminAddress {
            process,
            address: address?,
        })
    });
    processes.collect()
}
