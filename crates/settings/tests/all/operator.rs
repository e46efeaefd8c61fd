//! Tests of the settings of the operators' commands.

use lagoonlift_settings::OperatorSettings;
use std::path::Path;

const PLATFORM: &str = "[platform]\naddress = 127.0.0.1:9000\ntoken = operator-token\n";

#[test]
fn hosts_are_read_by_name() {
    let text = format!("{PLATFORM}[admin.a1]\nentry = 127.0.0.1:8081\n");
    let settings =
        OperatorSettings::parse(Path::new("op.ini"), &text).expect("the settings are valid");
    assert_eq!(settings.platform.token, "operator-token");
    assert_eq!(settings.hosts.len(), 1);
    assert_eq!(settings.hosts[0].name.as_str(), "a1");
    assert_eq!(settings.hosts[0].steward, None);
}

#[test]
fn an_error_names_file_section_and_key() {
    let cases = [
        ("[admin.a1]\n", "op.ini: [admin.a1]: neither `entry`"),
        (
            "[admin.a1]\nentry = 127.0.0.1:1\nport = 9\n",
            "op.ini: [admin.a1] port:",
        ),
        ("[entry]\nlisten = 127.0.0.1:1\n", "op.ini: [entry]:"),
    ];
    for (text, expected) in cases {
        let text = format!("{PLATFORM}{text}");
        let error = OperatorSettings::parse(Path::new("op.ini"), &text)
            .expect_err("the settings are invalid");
        assert!(error.to_string().starts_with(expected), "{error}");
    }
}
