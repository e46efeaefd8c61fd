//! Non-idempotent requests run once, regardless of which host gets a retry.

use crate::support::{EntryFixture, FixtureOptions, HANG_GUARD, crash, header};
use futures::future::join_all;
use lagoonlift_entry::{
    Claim, ClaimChange, ClaimKey, ClaimResult, ClaimState, ClaimTable, ContentDigest,
};
use lagoonlift_standins::platform::{FaultEffect, FaultRule};
use lagoonlift_standins::service::ServiceFault;
use lagoonlift_types::{RequestId, WorkspaceName};
use quickcheck::quickcheck;
use reqwest::{RequestBuilder, Response};
use tokio::time::timeout;

async fn send(request: RequestBuilder) -> Response {
    let response = timeout(HANG_GUARD, request.send()).await;
    response.expect("a response in time").expect("sent")
}

/// Returns status, outcome and error code.
async fn outcome_of(response: Response) -> (u16, String, String) {
    let status = response.status().as_u16();
    let outcome = header(&response, "lagoonlift-outcome").to_owned();
    let body = response.text().await.expect("a body");
    let code = serde_json::from_str::<serde_json::Value>(&body)
        .ok()
        .and_then(|body| Some(body["error"]["code"].as_str()?.to_owned()));
    (status, outcome, code.unwrap_or_default())
}

fn expected_outcome(expected: (u16, &str, &str)) -> (u16, String, String) {
    (expected.0, expected.1.to_owned(), expected.2.to_owned())
}

const ANSWERED: (u16, &str, &str) = (200, "answered", "");

/// Guards against running one key at several hosts: with claims that always
/// succeed, the service received 24 calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_key_runs_once_over_all_hosts() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let others = [
        fixture.start_another("b").await,
        fixture.start_another("c").await,
    ];
    let entries = [fixture.entry(), &others[0], &others[1]];
    let requests = (0..24).map(|index| send(fixture.book(entries[index % 3], "booking-1")));
    let responses = join_all(requests).await;
    let answered = responses.iter().filter(|response| response.status() == 200);
    assert_eq!(answered.count(), 1);
    assert_eq!(fixture.service.calls().len(), 1);
    assert!(
        responses
            .iter()
            .all(|response| matches!(response.status().as_u16(), 200 | 409))
    );
}

/// Concurrent requests with many keys share writes, so the platform's write
/// rate doesn't grow with the number of requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_claims_share_writes() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    fixture
        .platform
        .faults()
        .set_delay(std::time::Duration::from_millis(20));
    let before = fixture.platform.calls().writes;
    let keys: Vec<String> = (0..400).map(|index| format!("booking-{index}")).collect();
    let requests = keys
        .iter()
        .map(|key| send(fixture.book(fixture.entry(), key)));
    let responses = join_all(requests).await;
    assert!(responses.iter().all(|response| response.status() == 200));
    assert_eq!(fixture.service.calls().len(), 400);
    let writes = fixture.platform.calls().writes - before;
    // Without batching, 400 requests would take 800 writes.
    assert!(writes < 200, "{writes} writes");
}

/// The platform writes a claim, but its reply is lost, so the request is refused
/// and its claim, which may have been written, is released. New claims of the
/// same object are refused only until a later write succeeds.
#[tokio::test]
async fn a_claim_that_may_hold_is_given_back() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let rule = FaultRule::new("/objects/claims", FaultEffect::LoseAnswer);
    fixture.platform.faults().add(rule.with_reads());
    let book = || send(fixture.book(fixture.entry(), "booking-1"));
    let refused = expected_outcome((503, "not-run", "store_unavailable"));
    assert_eq!(outcome_of(book().await).await, refused);
    assert!(fixture.service.calls().is_empty());
    fixture.platform.faults().clear();
    let answered = async {
        loop {
            match outcome_of(book().await).await {
                outcome if outcome == refused => tokio::task::yield_now().await,
                outcome => return outcome,
            }
        }
    };
    let last = timeout(HANG_GUARD, answered)
        .await
        .expect("the claim is released");
    assert_eq!(last, expected_outcome(ANSWERED));
    assert_eq!(fixture.service.calls().len(), 1);
}

#[tokio::test]
async fn a_repeat_is_told_what_became_of_the_first() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let book = || send(fixture.book(fixture.entry(), "booking-1"));
    assert_eq!(outcome_of(book().await).await, expected_outcome(ANSWERED));
    assert_eq!(
        outcome_of(book().await).await,
        expected_outcome((409, "answered", "already_ran"))
    );
    let other_body = fixture.book(fixture.entry(), "booking-1").body("drill");
    assert_eq!(
        outcome_of(send(other_body).await).await,
        expected_outcome((400, "not-run", "bad_request"))
    );
    fixture.service.push_fault(ServiceFault::LoseAnswer);
    let book_second_key = || send(fixture.book(fixture.entry(), "booking-2"));
    assert_eq!(
        outcome_of(book_second_key().await).await,
        expected_outcome((504, "unknown", "outcome_unknown"))
    );
    assert_eq!(
        outcome_of(book_second_key().await).await,
        expected_outcome((409, "unknown", "already_ran"))
    );
    assert_eq!(fixture.service.calls().len(), 2);
}

#[tokio::test]
async fn without_the_store_nothing_runs() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    fixture.platform.faults().set_down(true);
    let response = send(fixture.book(fixture.entry(), "booking-1")).await;
    assert_eq!(header(&response, "retry-after"), "2");
    assert_eq!(
        outcome_of(response).await,
        expected_outcome((503, "not-run", "store_unavailable"))
    );
    assert!(fixture.service.calls().is_empty());
    fixture.platform.faults().set_down(false);
    let response = send(fixture.book(fixture.entry(), "booking-1")).await;
    assert_eq!(outcome_of(response).await, expected_outcome(ANSWERED));
}

/// Guards against refusing a request whose claim was written: without reading
/// the object after a lost response, the request was refused with
/// `store_unavailable`.
#[tokio::test]
async fn a_claim_whose_answer_was_lost_is_found_again() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let rule = FaultRule::new("/objects/claims", FaultEffect::LoseAnswer).with_remaining(1);
    fixture.platform.faults().add(rule);
    let response = send(fixture.book(fixture.entry(), "booking-1")).await;
    assert_eq!(outcome_of(response).await, expected_outcome(ANSWERED));
    assert_eq!(fixture.service.calls().len(), 1);
}

/// Guards against claims that outlive a request that didn't run: without their
/// release, the retry got 409 and "unknown" although nothing had run.
#[tokio::test]
async fn a_claim_is_given_back_when_nothing_ran() {
    let mut fixture = EntryFixture::start(FixtureOptions::default()).await;
    for engine in &mut fixture.engines {
        crash(engine).await;
    }
    let send_chat = |fixture: &EntryFixture| {
        let request = fixture.chat("once", false, 3);
        send(request.header("idempotency-key", "booking-1"))
    };
    assert_eq!(
        outcome_of(send_chat(&fixture).await).await,
        expected_outcome((503, "not-run", "no_upstream"))
    );
    for engine in &mut fixture.engines {
        engine.restart().expect("the port is free");
    }
    assert_eq!(
        outcome_of(send_chat(&fixture).await).await,
        expected_outcome(ANSWERED)
    );
    assert_eq!(fixture.runs(1), 1);
}

quickcheck! {
    /// For any order of claims, final states and releases, two requests never
    /// hold the same key, and a key whose request ran is never claimed again.
    fn a_key_has_one_holder(steps: Vec<(u8, u8)>) -> bool {
        let workspace = WorkspaceName::new("harbour").expect("a valid name");
        let (_, key) = ClaimKey::locate(&workspace, b"booking-1");
        let requests: Vec<RequestId> = (0..4).map(|_| RequestId::new()).collect();
        let mut table = ClaimTable::new();
        let mut holder: Option<(RequestId, bool)> = None;
        steps.into_iter().all(|(who, what)| {
            let request = requests[usize::from(who % 4)];
            let holds = holder.is_some_and(|(held, _)| held == request);
            match what % 3 {
                0 => {
                    let claim = Claim {
                        request,
                        content: ContentDigest::of(&[]),
                        state: ClaimState::Open,
                        made_at: 0,
                    };
                    let result = table.apply(&key, &ClaimChange::Open(claim));
                    let expected = holder.is_none() || holds;
                    holder.get_or_insert((request, false));
                    (result == ClaimResult::Applied) == expected
                }
                1 => {
                    let state = ClaimState::Answered;
                    table.apply(&key, &ClaimChange::Finish { request, state });
                    holder = holder.map(|(held, done)| (held, done || holds));
                    true
                }
                _ => {
                    table.apply(&key, &ClaimChange::Release { request });
                    holder = holder.filter(|(_, done)| !holds || *done);
                    true
                }
            }
        })
    }
}
