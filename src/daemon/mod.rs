//! Arguments, settings and signals that the daemons share.
//!
//! The main function of a daemon loads the settings, starts the components and
//! waits for a shutdown signal. This module keeps the daemons small and gives them
//! the same options, exit statuses and output when they are ready.

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

/// Exit status for invalid arguments or settings.
pub const EXIT_USAGE: u8 = 2;

/// Line of JSON that a daemon writes to standard output when it has started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyLine {
    /// HTTP address for callers; `None` for a steward.
    pub callers: Option<SocketAddr>,
    /// HTTP address of the metrics, readiness and `explain` endpoints.
    pub admin: SocketAddr,
    /// UDP and TCP address for messages from peers.
    pub peers: SocketAddr,
}

impl ReadyLine {
    /// Writes the line to standard output and flushes it.
    ///
    /// # Errors
    ///
    /// Returns an error if standard output cannot be written.
    pub fn print(&self) -> io::Result<()> {
        let mut output = io::stdout().lock();
        serde_json::to_writer(&mut output, self)?;
        output.write_all(b"\n")?;
        output.flush()
    }
}

/// Initializes logging with the format and filter from the settings.
///
/// # Errors
///
/// Returns an error if the filter is invalid or logging has already been
/// initialized.
pub fn init_logs_from_settings(settings: &Settings) -> eyre::Result<()> {
    let style = match settings.log.format {
        LogFormat::Plain => LogStyle::Plain,
        LogFormat::Json => LogStyle::Json,
    };
    init_logs(style, &settings.log.filter)
}

/// Parses a daemon's arguments and loads its settings.
///
/// Also handles the cases in which the daemon doesn't start: `--help`,
/// `--version`, `--check` and errors. `usage` is the text for `--help`, and
/// `section` is the section of the settings that the daemon requires.
///
/// # Errors
///
/// Returns the exit status if the daemon should exit without starting. The output
/// or error has then already been printed.
pub fn load_settings(usage: &str, section: RequiredSection) -> Result<Settings, ExitCode> {
    let action = DaemonAction::parse(lexopt::Parser::from_env());
    let (file, check_only) = match action {
        Err(error) => return Err(report_usage_error(&error.to_string())),
        Ok(DaemonAction::Help) => return Err(print(usage)),
        Ok(DaemonAction::Version) => return Err(print(env!("CARGO_PKG_VERSION"))),
        Ok(DaemonAction::CheckSettings(file)) => (file, true),
        Ok(DaemonAction::Run(file)) => (file, false),
    };
    let settings = Settings::load(&file).map_err(|error| report_usage_error(&error.to_string()))?;
    section
        .check(&settings, &file)
        .map_err(|error| report_usage_error(&error.to_string()))?;
    if check_only {
        return Err(print(&format!("{}: valid", file.display())));
    }
    Ok(settings)
}

/// Section of the settings that a daemon requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequiredSection {
    /// The section `[entry]`.
    Entry,
    /// The section `[steward]`.
    Steward,
}

impl RequiredSection {
    fn check(self, settings: &Settings, file: &std::path::Path) -> Result<(), SettingsError> {
        let (section, is_present) = match self {
            Self::Entry => ("entry", settings.entry.is_some()),
            Self::Steward => ("steward", settings.steward.is_some()),
        };
        match is_present {
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

fn report_usage_error(message: &str) -> ExitCode {
    eprintln!("error: {message}");
    ExitCode::from(EXIT_USAGE)
}
