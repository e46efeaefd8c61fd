//! Tests of the platform client against the platform stand-in.

mod failures;
mod objects;
mod services;

use lagoonlift_platform::PlatformClient;
use lagoonlift_standins::platform::PlatformStandin;
use std::time::Duration;

/// Timeout of calls, so that a test fails instead of hanging. Tests that need a
/// timeout to expire use a shorter one.
const TIMEOUT: Duration = Duration::from_secs(10);

async fn start_platform() -> (PlatformStandin, PlatformClient) {
    let listen = "127.0.0.1:0".parse().expect("the address is valid");
    let platform = PlatformStandin::start(listen)
        .await
        .expect("a port is free");
    let client = PlatformClient::new(platform.addr(), "writer".to_owned(), TIMEOUT);
    (platform, client)
}
