//! Command-line arguments that all daemons accept.

use lexopt::prelude::*;
use std::path::PathBuf;

/// Action that a daemon's arguments request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonAction {
    /// Print the usage text.
    Help,
    /// Print the version.
    Version,
    /// Validate this settings file and exit.
    CheckSettings(PathBuf),
    /// Run with this settings file.
    Run(PathBuf),
}

impl DaemonAction {
    /// Parses a daemon's arguments.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown argument or if no settings file is given.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        let mut settings_file = None;
        let mut check_only = false;
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(Self::Help),
                Short('V') | Long("version") => return Ok(Self::Version),
                Long("check") => check_only = true,
                Long("settings") => settings_file = Some(PathBuf::from(parser.value()?)),
                other => return Err(other.unexpected()),
            }
        }
        match (settings_file, check_only) {
            (Some(file), true) => Ok(Self::CheckSettings(file)),
            (Some(file), false) => Ok(Self::Run(file)),
            (None, _) => Err("--settings FILE is missing".into()),
        }
    }
}
