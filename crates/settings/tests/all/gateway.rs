//! Tests of the settings of a gateway.

use lagoonlift_settings::GatewaySettings;
use std::path::Path;

const REQUIRED: &str = "\
[host]
name = a1
data-centre = dc1
address = 127.0.0.1
[listen]
callers = 127.0.0.1:0
readiness = 127.0.0.1:0
[store]
address = 127.0.0.1:9000
";

fn memory_of(limits: &str) -> Option<u64> {
    let text = format!("{REQUIRED}{limits}");
    let settings = GatewaySettings::parse(Path::new("a1.ini"), &text);
    settings.ok().map(|settings| settings.limits.memory_bytes)
}

/// Guards against a host that takes more memory than it has: a platform that states none
/// leaves the section or the value out.
#[test]
fn the_memory_of_the_host_is_read_or_assumed() {
    let mebibytes = |count: u64| Some(count * 1_048_576);
    assert_eq!(memory_of("[limits]\nmemory-mb = 160\n"), mebibytes(160));
    assert_eq!(memory_of("[limits]\nmemory-mb = \n"), mebibytes(120));
    assert_eq!(memory_of(""), mebibytes(120));
    assert_eq!(memory_of("[limits]\nmemory-mb = much\n"), None);
}
