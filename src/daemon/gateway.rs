//! Arguments and settings of the gateway.

use super::{DaemonAction, print, refuse};
use lagoonlift_settings::GatewaySettings;
use std::env;
use std::path::PathBuf;
use std::process::ExitCode;

/// What the gateway's arguments ask for.
#[derive(Debug)]
pub enum GatewayAction {
    /// Run with these settings, which came from this file.
    Run(Box<GatewaySettings>, PathBuf),
    /// End with this status; what was to be said has been printed.
    Exit(ExitCode),
}

/// Reads the arguments and settings of the gateway, and does what needs no
/// start: `--help`, `--version`, `--check`, and the errors. The environment
/// variable `variable` names the settings file if no argument does.
pub fn load_gateway_settings(usage: &str, variable: &str) -> GatewayAction {
    let mut arguments: Vec<_> = env::args_os().collect();
    let names_file = arguments.iter().any(|argument| argument == "--settings");
    if let (false, Some(file)) = (names_file, env::var_os(variable)) {
        arguments.extend(["--settings".into(), file]);
    }
    let action = DaemonAction::parse(lexopt::Parser::from_iter(arguments));
    let (file, check_only) = match action {
        Err(error) => return GatewayAction::Exit(refuse(&error.to_string())),
        Ok(DaemonAction::Help) => return GatewayAction::Exit(print(usage)),
        Ok(DaemonAction::Version) => {
            return GatewayAction::Exit(print(env!("CARGO_PKG_VERSION")));
        }
        Ok(DaemonAction::CheckSettings(file)) => (file, true),
        Ok(DaemonAction::Run(file)) => (file, false),
    };
    match GatewaySettings::load(&file) {
        Err(error) => GatewayAction::Exit(refuse(&error.to_string())),
        Ok(_) if check_only => GatewayAction::Exit(print(&format!("{}: valid", file.display()))),
        Ok(settings) => GatewayAction::Run(Box::new(settings), file),
    }
}
