//! Arguments and settings of the gateway daemon.

use super::{DaemonAction, print, report_usage_error};
use lagoonlift_settings::GatewaySettings;
use std::env;
use std::path::PathBuf;
use std::process::ExitCode;

/// Action that the gateway's arguments and settings request.
#[derive(Debug)]
pub enum GatewayAction {
    /// Run with these settings, loaded from this file.
    Run(Box<GatewaySettings>, PathBuf),
    /// Exit with this status; the output or error has already been printed.
    Exit(ExitCode),
}

/// Parses the gateway's arguments and loads its settings.
///
/// Also handles the cases in which the gateway doesn't start: `--help`,
/// `--version`, `--check` and errors. Without `--settings`, the environment
/// variable `settings_variable` names the settings file.
pub fn load_gateway_settings(usage: &str, settings_variable: &str) -> GatewayAction {
    let mut arguments: Vec<_> = env::args_os().collect();
    let has_settings_argument = arguments.iter().any(|argument| argument == "--settings");
    if let (false, Some(file)) = (has_settings_argument, env::var_os(settings_variable)) {
        arguments.extend(["--settings".into(), file]);
    }
    let action = DaemonAction::parse(lexopt::Parser::from_iter(arguments));
    let (file, check_only) = match action {
        Err(error) => return GatewayAction::Exit(report_usage_error(&error.to_string())),
        Ok(DaemonAction::Help) => return GatewayAction::Exit(print(usage)),
        Ok(DaemonAction::Version) => {
            return GatewayAction::Exit(print(env!("CARGO_PKG_VERSION")));
        }
        Ok(DaemonAction::CheckSettings(file)) => (file, true),
        Ok(DaemonAction::Run(file)) => (file, false),
    };
    match GatewaySettings::load(&file) {
        Err(error) => GatewayAction::Exit(report_usage_error(&error.to_string())),
        Ok(_) if check_only => GatewayAction::Exit(print(&format!("{}: valid", file.display()))),
        Ok(settings) => GatewayAction::Run(Box::new(settings), file),
    }
}
