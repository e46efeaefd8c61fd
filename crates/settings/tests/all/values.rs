//! Tests that valid settings are read and that missing ones get their defaults.

use lagoonlift_settings::{LogFormat, Settings};
use std::path::Path;
use std::time::Duration;

/// A settings file with every required section.
pub(crate) const COMPLETE: &str = "\
[host]
name = a1
data-centre = dc1
[platform]
address = 127.0.0.1:9000
token = host-token
[peers]
key = 0101010101010101010101010101010101010101010101010101010101010101
[peer.a2]
entry = 127.0.0.1:7001
[entry]
listen = 127.0.0.1:0
admin-listen = 127.0.0.1:0
peer-listen = 127.0.0.1:0
max-body = 64KiB
[log]
format = json
";

#[test]
fn a_complete_file_is_read() {
    let settings = Settings::parse(Path::new("a1.ini"), COMPLETE).expect("the settings are valid");
    let entry = settings.entry.expect("the section exists");
    assert_eq!(settings.host.name.as_str(), "a1");
    assert_eq!(entry.max_body_bytes, 65_536);
    assert_eq!(settings.steward, None);
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.peers.heartbeat, Duration::from_millis(500));
    assert_eq!(settings.peers.seeds.len(), 1);
}
