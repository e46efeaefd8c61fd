//! An accepted configuration takes effect on every host within seconds and never
//! reverts to an older revision.

use crate::support::{
    Caller, DaemonProcess, HostGroup, HostSettings, entry_program, eventually, loopback,
    steward_program,
};
use lagoonlift_standins::platform::PlatformStandin;
use lagoonlift_standins::sample::SampleConfiguration;
use std::time::{Duration, Instant};

/// Longest time until a published configuration is in force on every entry daemon.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// Returns the status of a request with the caller's key.
async fn response_status(caller: &Caller) -> u16 {
    let response = caller.get("/v1/models").send().await;
    response.expect("a response").status().as_u16()
}

fn callers(group: &HostGroup, key: &str) -> Vec<Caller> {
    let entries = group.entries.iter();
    let caller = |entry: &DaemonProcess| Caller::new(entry.callers_url(), key);
    entries.map(caller).collect()
}

/// Waits until the requests of every caller get this status.
async fn wait_for_status(callers: &[Caller], expected: u16) {
    for caller in callers {
        eventually("the configuration change to be in force", || async {
            (response_status(caller).await == expected).then_some(())
        })
        .await;
    }
}

/// Guards against accepting an older revision. The test failed when the steward that
/// reads the revisions, the heartbeats and the store rejected only equal revisions:
/// the entries alternated between the two revisions and never agreed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_key_stops_within_seconds_and_stays_withdrawn() {
    let mut group = HostGroup::start(3).await;
    let snapshot = group.platform.snapshot();
    // The callers reuse their connections.
    let old = callers(&group, "key-of-the-plumbers");
    wait_for_status(&old, 200).await;
    let started = Instant::now();
    group.publish(2, "another-key");
    wait_for_status(&old, 401).await;
    assert!(
        started.elapsed() < IN_FORCE_BOUND,
        "{:?}",
        started.elapsed()
    );

    // The platform restarts with older data and sends it to its watchers.
    group.platform.faults().set_down(true);
    group.platform.restore(snapshot);
    group.platform.faults().set_down(false);
    group.publish(1, "key-of-the-plumbers");
    group.start_entry("late", &[]).await;
    let new = callers(&group, "another-key");
    wait_for_status(&new, 200).await;
    for caller in callers(&group, "key-of-the-plumbers") {
        assert_eq!(response_status(&caller).await, 401);
    }
}

/// Guards against depending on the platform at startup. The test failed when the
/// fetch of the configuration from peers was removed: no entry became ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_started_during_an_outage_gets_its_settings_from_neighbours() {
    let mut group = HostGroup::start(1).await;
    group.platform.faults().set_down(true);
    let peer_address = group.entries[0].ready().peers;
    group.start_entry("late", &[("a1", peer_address)]).await;
    wait_for_status(&callers(&group, "key-of-the-plumbers"), 200).await;
    wait_for_status(&callers(&group, "no-such-key"), 401).await;
}

/// Guards against an entry that doesn't contact the steward of its own host. The test
/// failed when only the hosts in `[peer.NAME]` were contacted at first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_host_gets_its_configuration_from_its_own_steward() {
    let platform = PlatformStandin::start(loopback()).await;
    let platform = platform.expect("loopback has ports");
    let sample = SampleConfiguration::new().with_workspace("plumbers", "key", "tide-7b");
    for (key, value) in sample.objects() {
        platform.put_object(&key, value);
    }
    let settings = HostSettings::new("a1", "dc1", platform.addr()).text();
    let steward = DaemonProcess::start(steward_program(), &settings);
    let section = format!("peer-listen = {}\nlease-term", steward.ready().peers);
    let settings = settings.replace("peer-listen = 127.0.0.1:0\nlease-term", &section);
    let entry = DaemonProcess::start(entry_program(), &settings);
    wait_for_status(&[Caller::new(entry.callers_url(), "key")], 200).await;
}
