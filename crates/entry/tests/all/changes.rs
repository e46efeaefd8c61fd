//! Responses continue during planned changes, crashes of engines and silent
//! connections; a caller that disconnects frees its engine.

use crate::support::{
    EntryFixture, FixtureOptions, HANG_GUARD, KEY, PROMPT, crash, data_centre, header,
    quick_tuning, streamed_text,
};
use lagoonlift_entry::EntryTuning;
use lagoonlift_standins::engine::{EngineFault, ExecutionEnd, completion_text};
use lagoonlift_types::{
    Availability, Epoch, FleetView, UpstreamName, UpstreamStatus, WorkspaceName,
};
use reqwest::Response;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Number of output tokens of a long response.
const TOKENS: u64 = 80;

fn slow_plan() -> FixtureOptions {
    let mut plan = FixtureOptions::default();
    for engine in &mut plan.engines {
        engine.token_interval = Duration::from_millis(15);
    }
    plan
}

/// Starts a stream and waits for its first chunk.
async fn start_stream(fixture: &EntryFixture, class: &str) -> (Response, Vec<u8>) {
    let request = fixture.chat(class, true, TOKENS);
    let mut response = request.send().await.expect("sent");
    assert_eq!(
        response.status(),
        200,
        "{}",
        header(&response, "lagoonlift-outcome")
    );
    let first = response.chunk().await.expect("a chunk").expect("a chunk");
    (response, first.to_vec())
}

async fn finish_stream((response, mut body): (Response, Vec<u8>)) -> String {
    let rest = timeout(HANG_GUARD, response.bytes()).await;
    body.extend_from_slice(&rest.expect("it ends").expect("a whole body"));
    let body = String::from_utf8(body).expect("UTF-8");
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    streamed_text(&body)
}

/// Publishes a fleet view in which the first engine has this availability.
fn set_first_engine(fixture: &EntryFixture, version: u64, availability: Availability) {
    let capacity = &fixture.configuration.data_centres[&data_centre()];
    let name = UpstreamName::new("engine-0").expect("a valid name");
    let status = UpstreamStatus {
        upstream: capacity.upstreams[&name].clone(),
        availability,
    };
    fixture.peer.publish_fleet(FleetView {
        data_centre: data_centre(),
        epoch: Epoch(1),
        version,
        upstreams: [(name, status)].into(),
    });
}

async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let holds = async {
        while !condition().await {
            tokio::task::yield_now().await;
        }
    };
    timeout(HANG_GUARD, holds).await.expect(what);
}

/// Guards against ignoring an engine's availability: with `accepts_requests`
/// always true, the draining engine kept getting requests.
#[tokio::test]
async fn a_draining_engine_finishes_its_streams_and_gets_no_new_work() {
    let fixture = EntryFixture::start(slow_plan()).await;
    let stream = start_stream(&fixture, "once").await;
    let runs_at_first = || fixture.engines[0].log().snapshot().len();
    assert_eq!(runs_at_first(), 1);
    set_first_engine(&fixture, 1, Availability::Draining);
    eventually("new work goes elsewhere", async || {
        let before = runs_at_first();
        let response = fixture
            .chat("default", false, 1)
            .send()
            .await
            .expect("sent");
        assert_eq!(header(&response, "lagoonlift-outcome"), "answered");
        runs_at_first() == before
    })
    .await;
    let runs = runs_at_first();
    for _ in 0..5 {
        let response = fixture
            .chat("default", false, 1)
            .send()
            .await
            .expect("sent");
        assert_eq!(header(&response, "lagoonlift-outcome"), "answered");
    }
    assert_eq!(runs_at_first(), runs);
    assert_eq!(finish_stream(stream).await, completion_text(PROMPT, TOKENS));
}

/// A configuration that withdraws a key lets admitted requests finish and
/// refuses new ones.
#[tokio::test]
async fn a_withdrawn_key_lets_its_streams_finish() {
    let mut fixture = EntryFixture::start(slow_plan()).await;
    let stream = start_stream(&fixture, "once").await;
    let mut configuration = fixture.configuration.clone();
    let name = WorkspaceName::new("harbour").expect("a valid name");
    let workspace = configuration.workspaces.get_mut(&name);
    Arc::make_mut(workspace.expect("the workspace"))
        .keys
        .clear();
    fixture.publish_configuration(configuration).await;
    eventually("the key opens nothing", async || {
        let models = fixture
            .client
            .get(fixture.url("/v1/models"))
            .bearer_auth(KEY);
        models.send().await.expect("sent").status() == 401
    })
    .await;
    assert_eq!(finish_stream(stream).await, completion_text(PROMPT, TOKENS));
}

/// A response that isn't streamed sends nothing until its end, so only the
/// closed connection shows that the caller disconnected. Without the branch
/// `disconnect_token.cancelled()` in the relay, the engine generated all tokens.
#[tokio::test]
async fn a_caller_that_leaves_frees_its_engine() {
    let fixture = EntryFixture::start(slow_plan()).await;
    let request = tokio::spawn(fixture.chat("default", false, TOKENS).send());
    eventually("the engine runs", async || fixture.runs(1) == 1).await;
    request.abort();
    let first_run = || fixture.engines[0].log().snapshot()[0].clone();
    eventually("the engine stops", async || {
        first_run().end != ExecutionEnd::Running
    })
    .await;
    assert_eq!(
        first_run().end,
        ExecutionEnd::Cancelled,
        "{:?}",
        first_run()
    );
}

/// When all engines of a data centre fail at once, resumable streams continue
/// in the other data centre.
#[tokio::test]
async fn streams_of_a_vanished_data_centre_go_on_elsewhere() {
    let mut fixture = EntryFixture::start(slow_plan()).await;
    let mut streams = Vec::new();
    for _ in 0..8 {
        streams.push(start_stream(&fixture, "default").await);
    }
    assert_eq!(fixture.engines[0].log().snapshot().len(), 8);
    crash(&mut fixture.engines[0]).await;
    for stream in streams {
        assert_eq!(finish_stream(stream).await, completion_text(PROMPT, TOKENS));
    }
    assert_eq!(fixture.metric("lagoonlift_resumes", "harbour"), 8.0);
}

/// An engine that stops sending without closing its connection is given up long
/// before the operating system would, and its idle connections are dropped.
#[tokio::test]
async fn a_silent_stream_is_resumed_within_the_token_gap_limit() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    fixture.engines[0]
        .faults()
        .push(EngineFault::SilentAfterTokens(5));
    let started = tokio::time::Instant::now();
    let stream = start_stream(&fixture, "default").await;
    assert_eq!(finish_stream(stream).await, completion_text(PROMPT, TOKENS));
    assert!(
        started.elapsed() < HANG_GUARD / 3,
        "{:?}",
        started.elapsed()
    );
    assert!(fixture.metric("lagoonlift_pool_evictions", "") >= 1.0);
}

/// A caller that stops reading occupies its engine only until the stall
/// timeout.
#[tokio::test]
async fn a_caller_that_stops_reading_frees_its_engine() {
    let tuning = EntryTuning {
        caller_stall_timeout: Duration::from_millis(300),
        ..quick_tuning()
    };
    let plan = FixtureOptions {
        tuning,
        ..FixtureOptions::default()
    };
    let fixture = EntryFixture::start(plan).await;
    // More tokens than all buffers between engine and caller can hold.
    let request = fixture.chat("default", true, 200_000);
    let response = request.send().await.expect("sent");
    eventually("the engine stops", async || {
        let log = fixture.engines[0].log().snapshot();
        log.first()
            .is_some_and(|run| run.end == ExecutionEnd::Cancelled)
    })
    .await;
    drop(response);
}
