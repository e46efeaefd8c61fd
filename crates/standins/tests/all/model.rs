//! Tests that the simulated engine completes all jobs it accepts, with the configured
//! durations.

use lagoonlift_policy::{PrefixHash, Timestamp};
use lagoonlift_standins::model::{
    CacheFeed, DelayedFeed, EngineCosts, EngineEvent, EngineJob, EngineModel, JobPhase, JobRefusal,
};
use lagoonlift_types::UpstreamRole;
use quickcheck::quickcheck;
use std::time::Duration;

fn job(id: u64, prompt_tokens: u64, output_tokens: u64) -> EngineJob {
    EngineJob {
        id,
        phase: JobPhase::PrefillDecode,
        prompt_tokens,
        output_tokens,
        prefix: None,
        priority: 1,
    }
}

/// Advances the engine until it is idle, and returns the events with their times.
fn finish(engine: &mut EngineModel) -> Vec<(Timestamp, EngineEvent)> {
    let mut log = Vec::new();
    while let Some(at) = engine.next_event() {
        let mut events = Vec::new();
        engine.advance(at, &mut events);
        log.extend(events.into_iter().map(|event| (at, event)));
    }
    log
}

fn completed(log: &[(Timestamp, EngineEvent)]) -> Vec<u64> {
    let ids = log.iter().filter_map(|(_, event)| match event {
        EngineEvent::Completed { id } => Some(*id),
        _ => None,
    });
    ids.collect()
}

quickcheck! {
    /// Every job that is accepted and not cancelled completes exactly once, and no
    /// stream and no KV memory remains in use at the end.
    fn completes_each_job_once(jobs: Vec<(u16, u8, bool)>) -> bool {
        let mut engine = EngineModel::new(EngineCosts::default(), UpstreamRole::Mixed);
        let mut kept = Vec::new();
        for (id, (prompt, output, cancelled)) in jobs.into_iter().take(100).enumerate() {
            let id = id as u64;
            let submitted = job(id, u64::from(prompt) + 1, u64::from(output) + 1);
            engine.submit(Timestamp(0), submitted).expect("the queue has room");
            match cancelled {
                true => engine.cancel(id),
                false => kept.push(id),
            }
        }
        let log = finish(&mut engine);
        let mut done = completed(&log);
        done.retain(|id| kept.contains(id));
        done.sort_unstable();
        let idle = engine.load();
        done == kept && idle.active_streams == 0 && idle.kv_used == 0.0
    }

    /// The same jobs always cause the same events at the same times.
    fn same_jobs_cause_same_events(jobs: Vec<(u16, u8)>) -> bool {
        let run = || {
            let mut engine = EngineModel::new(EngineCosts::default(), UpstreamRole::Mixed);
            for (id, (prompt, output)) in jobs.iter().take(100).enumerate() {
                let job = job(id as u64, u64::from(*prompt) + 1, u64::from(*output) + 1);
                engine.submit(Timestamp(0), job).expect("the queue has room");
            }
            finish(&mut engine)
        };
        run() == run()
    }
}

/// Prefilling a prompt of one piece takes the configured time, and half of it when half
/// of the prompt is cached.
#[test]
fn cached_tokens_shorten_the_prefill() {
    let mut engine = EngineModel::new(EngineCosts::default(), UpstreamRole::Prefill);
    let prefill_time = |engine: &mut EngineModel, now: Timestamp, id| {
        let job = EngineJob {
            phase: JobPhase::PrefillOnly,
            prefix: Some((PrefixHash(1), 1_000)),
            ..job(id, 2_000, 1)
        };
        engine
            .submit(now, job)
            .expect("a prefill engine accepts a prefill job");
        let (at, _) = *finish(engine).last().expect("the job ends");
        at.since(now)
    };
    let first = prefill_time(&mut engine, Timestamp(0), 1);
    let second = prefill_time(&mut engine, Timestamp(1_000_000), 2);
    assert_eq!(first, Duration::from_millis(200));
    assert_eq!(second, Duration::from_millis(100));
}

/// A role change doesn't interrupt streams: it starts when they have ended and takes the
/// configured time, and the engine accepts no jobs until it has finished.
#[test]
fn changes_its_role_after_its_jobs_have_ended() {
    let costs = EngineCosts::default();
    let mut engine = EngineModel::new(costs, UpstreamRole::Decode);
    engine
        .submit(Timestamp(0), job(1, 500, 50))
        .expect("the engine accepts jobs");
    engine.change_role(Timestamp(0), UpstreamRole::Prefill);
    let refusal = engine.submit(Timestamp(1), job(2, 500, 50));
    assert_eq!(refusal, Err(JobRefusal::WrongRole));
    let log = finish(&mut engine);
    assert_eq!(completed(&log), [1]);
    let time_of = |wanted: &dyn Fn(&EngineEvent) -> bool| {
        let found = log.iter().find(|(_, event)| wanted(event));
        found.map(|(at, _)| *at).expect("the event occurred")
    };
    let ended = time_of(&|event| matches!(event, EngineEvent::Completed { .. }));
    let changed = time_of(&|event| matches!(event, EngineEvent::RoleChanged { .. }));
    assert_eq!(changed.since(ended), costs.role_change_duration);
    assert_eq!(engine.role(), UpstreamRole::Prefill);
}

/// A feed delays its values and loses those pushed while it is frozen; a cache feed
/// loses the configured share of its events.
#[test]
fn feeds_delay_and_lose_events() {
    let mut feed = DelayedFeed::new(Duration::from_millis(500));
    feed.push(Timestamp(0), 'a');
    assert_eq!(feed.pop(Timestamp(499_999)), None);
    assert_eq!(feed.pop(Timestamp(500_000)), Some((Timestamp(0), 'a')));
    feed.set_frozen(true);
    feed.push(Timestamp(600_000), 'b');
    assert_eq!(feed.pop(Timestamp(9_000_000)), None);

    let mut events = CacheFeed::new(Duration::ZERO, 0.3, 5);
    for number in 0..1_000 {
        events.push(Timestamp(0), PrefixHash(number), true);
    }
    let seen = std::iter::from_fn(|| events.pop(Timestamp(0))).count();
    assert!((600..800).contains(&seen), "{seen} of 1000 delivered");
}
