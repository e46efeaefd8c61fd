//! What the two daemons have in common: arguments, settings, signals.
//!
//! A daemon is a page: it reads its settings, starts the parts and waits for the
//! signal to stop. This module keeps that page short, and keeps both daemons
//! alike: same options, same exit statuses, same line when they are ready.

mod arguments;
mod gateway;
mod signals;

pub use arguments::DaemonAction;
pub use gateway::{GatewayAction, load_gateway_settings};
pub use signals::ShutdownSignal;

use lagoonlift_settings::{LogFormat, Settings, SettingsError};
use lagoonlift_telemetry::{LogStyle, init_logs};
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Exit status for wrong arguments or settings.
pub const EXIT_USAGE: u8 = 2;

/// The line that a daemon writes to standard output, as JSON, when it is ready.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyLine {
    /// Address for callers, of an entry daemon.
    pub callers: Option<SocketAddr>,
    /// Address of metrics, readiness and `explain`.
    pub admin: SocketAddr,
    /// Address for other hosts, UDP and TCP.
    pub peers: SocketAddr,
}

impl ReadyLine {
    /// Writes the line.
    ///
    /// # Errors
    ///
    /// Fails when standard output is closed.
    pub fn print(&self) -> io::Result<()> {
        let mut output = io::stdout().lock();
        serde_json::to_writer(&mut output, self)?;
        output.write_all(b"\n")?;
        output.flush()
    }
}

/// Starts the log lines as the settings say.
///
/// # Errors
///
/// Fails when the filter can't be parsed.
pub fn init_logs_from_settings(settings: &Settings) -> eyre::Result<()> {
    let style = match settings.log.format {
        LogFormat::Plain => LogStyle::Plain,
        LogFormat::Json => LogStyle::Json,
    };
    init_logs(style, &settings.log.filter)
}

/// Reads the arguments and settings of a daemon, and does what needs no start:
/// `--help`, `--version`, `--check`, and the errors.
///
/// `section` is the section that the daemon can't do without, `usage` its help.
///
/// # Errors
///
/// Returns the exit status with which the daemon ends without starting.
pub fn load_settings(usage: &str, section: RequiredSection) -> Result<Settings, ExitCode> {
    let action = DaemonAction::parse(lexopt::Parser::from_env());
    let (file, check_only) = match action {
        Err(error) => return Err(refuse(&error.to_string())),
        Ok(DaemonAction::Help) => return Err(print(usage)),
        Ok(DaemonAction::Version) => return Err(print(env!("CARGO_PKG_VERSION"))),
        Ok(DaemonAction::CheckSettings(file)) => (file, true),
        Ok(DaemonAction::Run(file)) => (file, false),
    };
    let settings = Settings::load(&file).map_err(|error| refuse(&error.to_string()))?;
    section
        .check(&settings, &file)
        .map_err(|error| refuse(&error.to_string()))?;
    if check_only {
        return Err(print(&format!("{}: valid", file.display())));
    }
    Ok(settings)
}

/// The section of the settings that a daemon can't do without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequiredSection {
    /// `[entry]`.
    Entry,
    /// `[steward]`.
    Steward,
}

impl RequiredSection {
    fn check(self, settings: &Settings, file: &std::path::Path) -> Result<(), SettingsError> {
        let (section, present) = match self {
            Self::Entry => ("entry", settings.entry.is_some()),
            Self::Steward => ("steward", settings.steward.is_some()),
        };
        match present {
            true => Ok(()),
            false => Err(SettingsError::Section {
                file: file.to_owned(),
                section: section.to_owned(),
                detail: "the section is missing".to_owned(),
            }),
        }
    }
}

fn print(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}

fn refuse(message: &str) -> ExitCode {
    eprintln!("error: {message}");
    ExitCode::from(EXIT_USAGE)
}
