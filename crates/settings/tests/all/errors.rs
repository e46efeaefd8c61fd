//! Tests that each invalid setting gives an error with its file, section and key.

use crate::values::COMPLETE;
use lagoonlift_settings::Settings;
use std::path::Path;

fn error_of(text: &str) -> String {
    let result = Settings::parse(Path::new("a1.ini"), text);
    result.expect_err("the text is invalid").to_string()
}

fn error_after(from: &str, to: &str) -> String {
    assert!(COMPLETE.contains(from), "{from} is not in the file");
    error_of(&COMPLETE.replace(from, to))
}

#[test]
fn every_fault_is_named() {
    let faults = [
        ("unknown section", error_after("[log]", "[logs]")),
        ("unknown key", error_after("format = json", "colour = red")),
        (
            "wrong unit",
            error_after("max-body = 64KiB", "max-body = 64"),
        ),
        (
            "missing address",
            error_after("listen = 127.0.0.1:0\nadmin", "admin"),
        ),
        (
            "a name for an IP number",
            error_after("127.0.0.1:9000", "localhost:9000"),
        ),
        (
            "missing section",
            error_after(
                "[platform]\naddress = 127.0.0.1:9000\ntoken = host-token\n",
                "",
            ),
        ),
        (
            "duplicate host",
            error_after("[entry]", "[peer.a2]\nentry = 127.0.0.1:7002\n[entry]"),
        ),
        (
            "duplicate address",
            error_after("[entry]", "[peer.a3]\nentry = 127.0.0.1:7001\n[entry]"),
        ),
        ("own name as a peer", error_after("[peer.a2]", "[peer.a1]")),
        ("short peer key", error_after("key = 01", "key = ")),
        (
            "repeated key",
            error_after("name = a1", "name = a1\nname = a2"),
        ),
        (
            "key before a section",
            error_after("[host]", "name = a1\n[host]"),
        ),
        ("upper-case name", error_after("name = a1", "name = A1")),
        (
            "time without unit",
            error_after("[peer.a2]", "heartbeat = 5\n[peer.a2]"),
        ),
        ("broken line", error_after("name = a1", "name")),
    ];
    let shown: Vec<String> = faults
        .iter()
        .map(|(fault, error)| format!("{fault}: {error}"))
        .collect();
    insta::assert_snapshot!(shown.join("\n"));
}

#[test]
fn a_missing_file_is_named() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("none.ini");
    let error = Settings::load(&file)
        .expect_err("the file is missing")
        .to_string();
    assert!(error.contains("none.ini: can't be read"), "{error}");
}
