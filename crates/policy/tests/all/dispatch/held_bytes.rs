//! Tests of what a host cuts when it holds too much for callers that read slowly.

use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    CutRule, HeldCut, HeldKey, HeldLimits, HeldResponse, ReadProgress, STALL_TIME, choose_cuts,
};
use std::time::Duration;

const LIMITS: HeldLimits = HeldLimits {
    host_bytes: 10_000,
    caller_bytes: 1_000,
};

/// Time between two reads of a caller.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Time at which the cuts are chosen.
fn now() -> Timestamp {
    Timestamp::default() + Duration::from_secs(60)
}

/// Returns the progress of a caller that has read this much at each interval for `time`,
/// the last time `idle_time` ago.
fn progress(bytes: u64, time: Duration, idle_time: Duration) -> ReadProgress {
    let end = now() - idle_time;
    let mut progress = ReadProgress::new(end - time);
    let mut at = end - time;
    while at < end {
        at = at + READ_INTERVAL;
        progress.record(at, bytes);
    }
    progress
}

fn reader(key: u64, urgency: u8, bytes_per_read: u64) -> HeldResponse {
    HeldResponse {
        key: HeldKey(key),
        bytes: 1_000,
        urgency,
        is_resumable: false,
        arrived: Timestamp::default(),
        progress: progress(bytes_per_read, Duration::from_secs(4), Duration::ZERO),
    }
}

fn keys(cuts: &[HeldCut]) -> Vec<u64> {
    cuts.iter().map(|cut| cut.key.0).collect()
}

/// Guards against cutting sound but slow callers while there is room.
#[test]
fn nothing_is_cut_while_there_is_room() {
    let mut stalled = reader(1, 9, 1);
    stalled.progress = ReadProgress::new(Timestamp::default());
    let responses = [stalled, reader(2, 9, 1)];
    assert_eq!(choose_cuts(now(), LIMITS, 10_000, &responses), []);
    assert!(!choose_cuts(now(), LIMITS, 10_001, &responses).is_empty());
}

/// Guards against cutting urgent or fast callers before the others.
#[test]
fn the_least_urgent_and_slowest_responses_are_cut_first() {
    let responses = [
        reader(1, 0, 1),
        reader(2, 5, 400),
        reader(3, 5, 10),
        reader(4, 2, 1),
    ];
    let cuts = choose_cuts(now(), LIMITS, 12_000, &responses);
    assert_eq!(keys(&cuts), [3, 2, 4]);
    assert!(
        cuts.iter()
            .all(|cut| cut.rule == CutRule::LeastUrgentAndSlowest)
    );
    assert_eq!(cuts[0].bytes, 1_000);
    assert_eq!(cuts[0].age, Duration::from_secs(60));
}

/// Guards against cutting a stream that its caller can't resume in place of one that it can.
#[test]
fn among_equals_resumable_streams_are_cut_first() {
    let resumable = HeldResponse {
        is_resumable: true,
        ..reader(7, 5, 11)
    };
    let responses = [reader(1, 5, 10), resumable, reader(2, 5, 10)];
    let cuts = choose_cuts(now(), LIMITS, 10_400, &responses);
    assert_eq!(keys(&cuts), [7]);
}

/// Guards against cutting callers that read while others have stopped reading.
#[test]
fn stalled_callers_are_cut_before_the_others() {
    let idle = |key, urgency, idle_time| HeldResponse {
        progress: progress(400, Duration::from_secs(4), idle_time),
        ..reader(key, urgency, 0)
    };
    let responses = [
        reader(1, 9, 1),
        idle(2, 0, STALL_TIME),
        idle(3, 0, STALL_TIME * 2),
        idle(4, 8, STALL_TIME - Duration::from_millis(1)),
    ];
    let cuts = choose_cuts(now(), LIMITS, 12_400, &responses);
    let rules: Vec<CutRule> = cuts.iter().map(|cut| cut.rule).collect();
    assert_eq!(keys(&cuts), [3, 2, 1]);
    assert_eq!(rules[..2], [CutRule::Stalled; 2]);
    assert_eq!(rules[2], CutRule::LeastUrgentAndSlowest);
    assert_eq!(cuts[0].idle_time, STALL_TIME * 2);
}

/// Guards against taking a response that has just begun for the slowest one.
#[test]
fn responses_of_unknown_speed_are_cut_last() {
    let mut new = reader(1, 5, 0);
    new.progress = ReadProgress::new(now() - Duration::from_millis(400));
    let responses = [new, reader(2, 5, 1_000_000)];
    let cuts = choose_cuts(now(), LIMITS, 10_400, &responses);
    assert_eq!(keys(&cuts), [2]);
}

/// Guards against cuts that free nothing: what others hold can't be freed by them, and a
/// response for which nothing is held frees nothing.
#[test]
fn nothing_is_cut_in_vain() {
    let empty = HeldResponse {
        bytes: 0,
        ..reader(1, 9, 1)
    };
    let responses = [empty, reader(2, 0, 1_000)];
    assert_eq!(choose_cuts(now(), LIMITS, 11_001, &responses), []);
    let cuts = choose_cuts(now(), LIMITS, 11_000, &responses);
    assert_eq!(keys(&cuts), [2]);
}

/// Guards against a cut for each of the next bytes: one choice leaves some room.
#[test]
fn a_cut_leaves_room_for_the_next_bytes() {
    let responses: Vec<HeldResponse> = (0..10).map(|key| reader(key, 5, 1)).collect();
    let cuts = choose_cuts(now(), LIMITS, 10_001, &responses);
    let left = 10_001 - cuts.iter().map(|cut| cut.bytes).sum::<u64>();
    assert!((8_500..=9_500).contains(&left), "{left} bytes are left");
}

/// Guards against a speed that forgets a pause or remembers an old burst.
#[test]
fn speeds_follow_the_last_seconds() {
    let steady = progress(50, Duration::from_secs(10), Duration::ZERO);
    let speed = steady.bytes_per_s(now()).expect("a known speed");
    assert!((400..=600).contains(&speed), "{speed}");
    let paused = progress(50, Duration::from_secs(10), Duration::from_secs(8));
    let speed = paused.bytes_per_s(now()).expect("a known speed");
    assert!(speed < 250, "{speed}");
    let mut resumed = paused;
    resumed.record(now(), 50);
    let speed = resumed.bytes_per_s(now()).expect("a known speed");
    assert!(speed < 50, "{speed}");
}

/// Guards against limits that the smallest host can't keep, or that cut usual callers.
#[test]
fn limits_follow_from_the_memory() {
    let limits = |mebibytes: u64| HeldLimits::for_memory(mebibytes * 1_048_576);
    let smallest = limits(120);
    assert_eq!(smallest.host_bytes, 24 * 1_048_576);
    assert_eq!(limits(168).host_bytes, 40 * 1_048_576);
    assert_eq!(limits(528).host_bytes, 160 * 1_048_576);
    assert_eq!(limits(0), limits(48), "a host always has some room");
    assert!(smallest.may_read_on(smallest.caller_bytes - 1));
    assert!(!smallest.may_read_on(smallest.caller_bytes));
}
