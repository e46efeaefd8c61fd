//! The arguments that both daemons take.

use lexopt::prelude::*;
use std::path::PathBuf;

/// What a daemon is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonAction {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check the settings and stop.
    CheckSettings(PathBuf),
    /// Run with the settings.
    Run(PathBuf),
}

impl DaemonAction {
    /// Reads a daemon's arguments.
    ///
    /// # Errors
    ///
    /// Fails on an unknown argument or when no settings file is named.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        let mut file = None;
        let mut check = false;
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(Self::Help),
                Short('V') | Long("version") => return Ok(Self::Version),
                Long("check") => check = true,
                Long("settings") => file = Some(PathBuf::from(parser.value()?)),
                other => return Err(other.unexpected()),
            }
        }
        match (file, check) {
            (Some(file), true) => Ok(Self::CheckSettings(file)),
            (Some(file), false) => Ok(Self::Run(file)),
            (None, _) => Err("--settings FILE is missing".into()),
        }
    }
}
