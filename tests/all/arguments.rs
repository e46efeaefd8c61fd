//! The programs print help, check their settings, and report each wrong argument or
//! setting with one clear error.

use crate::support::{HostSettings, entry_program, loopback, operator_program, steward_program};
use std::fs;
use std::io::Write;
use std::path::Path;
use std::process::{Command, Output};
use tempfile::NamedTempFile;

fn output_of(program: &str, arguments: &[&str]) -> Output {
    let result = Command::new(program).args(arguments).output();
    result.expect("the binary can be started")
}

/// Runs `program --check` with these settings; returns the exit status and the
/// standard error, with the path of the file replaced by `FILE`.
fn check(program: &str, settings: &str) -> (Option<i32>, String) {
    let mut file = NamedTempFile::new().expect("a temporary settings file can be created");
    file.write_all(settings.as_bytes())
        .expect("the settings can be written");
    let path = file.path().to_str().expect("the path is valid UTF-8");
    let output = output_of(program, &["--settings", path, "--check"]);
    let error = String::from_utf8(output.stderr).expect("the output is valid UTF-8");
    (output.status.code(), error.replace(path, "FILE"))
}

#[test]
fn every_program_has_help() {
    for program in [entry_program(), steward_program(), operator_program()] {
        let output = output_of(program, &["--help"]);
        let text = String::from_utf8(output.stdout).expect("the output is valid UTF-8");
        assert!(output.status.success(), "{program}");
        assert!(text.starts_with("Usage: "), "{text}");
    }
}

#[test]
fn valid_settings_pass_the_check() {
    let settings = HostSettings::new("a1", "dc1", loopback()).text();
    assert_eq!(check(entry_program(), &settings), (Some(0), String::new()));
    assert_eq!(
        check(steward_program(), &settings),
        (Some(0), String::new())
    );
}

#[test]
fn a_wrong_setting_is_named_with_exit_status_2() {
    let settings = HostSettings::new("a1", "dc1", loopback());
    let settings = settings.with_lines("[usage]\nwindow = 5").text();
    let (status, error) = check(entry_program(), &settings);
    assert_eq!(status, Some(2));
    assert_eq!(
        error,
        "error: FILE: [usage] window: `5`: expected a time with its unit, such as 500ms, 10s or 2m\n"
    );
}

#[test]
fn a_missing_section_is_named() {
    let settings = HostSettings::new("a1", "dc1", loopback()).text();
    let start = settings
        .find("[steward]")
        .expect("the settings have a `[steward]` section");
    let (status, error) = check(steward_program(), &settings[..start]);
    assert_eq!(status, Some(2));
    assert_eq!(error, "error: FILE: [steward]: the section is missing\n");
}

#[test]
fn wrong_arguments_end_with_exit_status_2() {
    for program in [entry_program(), steward_program(), operator_program()] {
        let output = output_of(program, &["--no-such-option"]);
        assert_eq!(output.status.code(), Some(2), "{program}");
    }
}

#[test]
fn the_examples_pass_the_check() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let mut checked = 0;
    for deployment in ["destapes", "solar-watch"] {
        let hosts = fs::read_dir(examples.join(deployment).join("hosts"));
        for file in hosts.expect("the example has a `hosts` directory") {
            let path = file.expect("the directory entry can be read").path();
            let path = path.to_str().expect("the path is valid UTF-8");
            for program in [entry_program(), steward_program()] {
                let output = output_of(program, &["--settings", path, "--check"]);
                assert!(output.status.success(), "{path}: {output:?}");
                checked += 1;
            }
        }
    }
    assert_eq!(
        checked, 24,
        "two deployments, each with six hosts of two daemons"
    );
}
