//! The `lagoonlift` command line for operators and developers.

mod commands;

use lagoonlift::daemon::EXIT_USAGE;
use std::process::ExitCode;

fn main() -> ExitCode {
    match commands::run(lexopt::Parser::from_env()) {
        Ok(exit_code) => exit_code,
        Err(error) => {
            eprintln!("error: {error:#}");
            match error.downcast_ref::<lexopt::Error>() {
                Some(_) => ExitCode::from(EXIT_USAGE),
                None => ExitCode::FAILURE,
            }
        }
    }
}
