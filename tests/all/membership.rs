//! The membership view of a peer when processes are killed, suspended or shut down.

use crate::support::{HANG_GUARD, HostGroup, PEER_KEY_BYTES, ProcessSignal};
use lagoonlift::hosts::{Member, MemberState, PeerNode};

/// Waits until the observer lists the process on `host` in the state `expected`, or
/// doesn't list it for `None`. Doesn't count the suspected state, which is transient.
async fn wait_for_state(observer: &PeerNode, host: &str, expected: Option<MemberState>) {
    let is_settled = |member: &&Member| {
        member.process.host.as_str() == host && member.state != MemberState::Suspect
    };
    let mut members = observer.members();
    let waiting = members.wait_for(|members| {
        let listed = members
            .iter()
            .find(|member| member.process.host.as_str() == host);
        match expected {
            None => listed.is_none(),
            Some(state) => {
                let settled = listed.filter(is_settled);
                settled.is_some_and(|member| member.state == state)
            }
        }
    });
    let result = tokio::time::timeout(HANG_GUARD, waiting).await;
    result
        .unwrap_or_else(|_| panic!("{host} never became {expected:?}"))
        .expect("the observer runs");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_process_is_missed_and_a_leaving_one_announced() {
    let group = HostGroup::start(3).await;
    let observer = group.join_as_observer("watcher", PEER_KEY_BYTES).await;
    for host in ["a1", "a2", "a3"] {
        wait_for_state(&observer, host, Some(MemberState::Alive)).await;
    }
    group.entries[0].signal(ProcessSignal::Kill);
    wait_for_state(&observer, "a1", None).await;
    group.entries[1].signal(ProcessSignal::Terminate);
    wait_for_state(&observer, "a2", Some(MemberState::Draining)).await;
    wait_for_state(&observer, "a2", None).await;
    wait_for_state(&observer, "a3", Some(MemberState::Alive)).await;
}

/// Guards against a suspended process that can't refute its suspicion after it resumes.
/// The test failed when the refutation number wasn't increased.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_process_comes_back_when_it_goes_on() {
    let group = HostGroup::start(2).await;
    let observer = group.join_as_observer("watcher", PEER_KEY_BYTES).await;
    wait_for_state(&observer, "a1", Some(MemberState::Alive)).await;
    group.entries[0].signal(ProcessSignal::Stop);
    wait_for_state(&observer, "a1", None).await;
    group.entries[0].signal(ProcessSignal::Continue);
    wait_for_state(&observer, "a1", Some(MemberState::Alive)).await;
    wait_for_state(&observer, "a2", Some(MemberState::Alive)).await;
}
