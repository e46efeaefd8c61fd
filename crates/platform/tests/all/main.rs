//! Tests of the platform's client against the stand-in.

mod failures;
mod objects;
mod services;

use lagoonlift_platform::PlatformClient;
use lagoonlift_standins::platform::PlatformStandin;
use std::time::Duration;

/// Hang guard of the calls; tests of lost answers use a short one.
const TIMEOUT: Duration = Duration::from_secs(10);

async fn start_platform() -> (PlatformStandin, PlatformClient) {
    let listen = "127.0.0.1:0".parse().expect("an address");
    let platform = PlatformStandin::start(listen).await.expect("a free port");
    let client = PlatformClient::new(platform.addr(), "writer".to_owned(), TIMEOUT);
    (platform, client)
}
