//! Malformed, oversize and slow requests get a clear error and don't affect
//! other callers.
//!
//! The tests use plain sockets, because a client library would refuse to send
//! most of these requests.

use crate::support::{EntryFixture, FixtureOptions, HANG_GUARD, KEY, MODEL};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Sends `parts`, then reads until the server closes the connection; returns
/// the server's response.
async fn exchange(fixture: &EntryFixture, parts: &[&[u8]]) -> String {
    let mut stream = connect(fixture).await;
    for part in parts {
        // The server may refuse the request and close the connection before
        // everything is sent.
        if stream.write_all(part).await.is_err() {
            break;
        }
    }
    read_all(&mut stream).await
}

async fn connect(fixture: &EntryFixture) -> TcpStream {
    let stream = TcpStream::connect(fixture.entry().caller_addr()).await;
    stream.expect("the entry listens")
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset after the response leaves the bytes that were already read.
    let _ = timeout(HANG_GUARD, stream.read_to_end(&mut bytes))
        .await
        .expect("the server closes the connection");
    String::from_utf8_lossy(&bytes).into_owned()
}

fn head(extra: &str) -> Vec<u8> {
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\n{extra}\r\n\r\n"
    );
    head.into_bytes()
}

fn sized(body: &[u8]) -> Vec<u8> {
    let head = head(&format!("content-length: {}", body.len()));
    [&head, body].concat()
}

fn chat(model: &str) -> Vec<u8> {
    let text = format!(
        r#"{{"model":"{model}","max_tokens":2,"messages":[{{"role":"user","content":"x"}}]}}"#
    );
    text.into_bytes()
}

/// Asserts status and error code, and that a valid request is served
/// afterwards.
async fn assert_refused(fixture: &EntryFixture, parts: &[&[u8]], status: u16, code: &str) {
    let reply = exchange(fixture, parts).await;
    let expected = format!("HTTP/1.1 {status}");
    assert!(reply.starts_with(&expected), "{expected}: {reply}");
    assert!(
        reply.contains(&format!(r#""code":"{code}""#)),
        "{code}: {reply}"
    );
    assert!(reply.contains("lagoonlift-outcome: not-run"), "{reply}");
    let good = exchange(fixture, &[&sized(&chat(MODEL))]).await;
    assert!(good.starts_with("HTTP/1.1 200"), "{good}");
}

#[tokio::test]
async fn malformed_requests_get_a_clear_error() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let runs = || fixture.runs(0);
    let cases: [(Vec<u8>, u16, &str); 8] = [
        (sized(b"{\"model\":"), 400, "bad_request"),
        (sized(b"{\"model\":\"\xff\xfe\"}"), 400, "bad_request"),
        (sized(b"[]"), 400, "bad_request"),
        (sized(b""), 400, "bad_request"),
        (sized(&chat("no-such-model")), 404, "not_found"),
        (sized(&chat("No Model!")), 404, "not_found"),
        (sized(&[b' '; 64 * 1024 + 1]), 413, "too_large"),
        (
            [
                head("lagoonlift-class: nonesuch\r\ncontent-length: 2"),
                b"{}".to_vec(),
            ]
            .concat(),
            400,
            "bad_request",
        ),
    ];
    for (index, (request, status, code)) in cases.iter().enumerate() {
        assert_refused(&fixture, &[request], *status, code).await;
        assert_eq!(runs(), index + 1, "only the good requests ran");
    }
}

/// Guards against a missing size limit in `read_chunks`: with a thousand times
/// the limit, the entry daemon read the whole body and responded with 400 in
/// place of 413.
#[tokio::test]
async fn an_endless_body_is_refused_early() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let chunk = [b"4000\r\n".to_vec(), vec![b' '; 0x4000], b"\r\n".to_vec()].concat();
    let head = head("transfer-encoding: chunked");
    let mut parts: Vec<&[u8]> = vec![&head];
    parts.extend((0..64).map(|_| chunk.as_slice()));
    assert_refused(&fixture, &parts, 413, "too_large").await;
}

#[tokio::test]
async fn oversize_headers_are_refused() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let long = format!("x-long: {}", "x".repeat(128 * 1024));
    let reply = exchange(&fixture, &[&head(&long)]).await;
    assert!(reply.starts_with("HTTP/1.1 431"), "{reply}");
    let good = exchange(&fixture, &[&sized(&chat(MODEL))]).await;
    assert!(good.starts_with("HTTP/1.1 200"), "{good}");
}

/// Guards against a missing timeout for body chunks: with a thousand times the
/// timeout, the test hung.
#[tokio::test]
async fn slow_bodies_are_given_up() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let head = head("content-length: 100");
    let reply = exchange(&fixture, &[&head, b"{\"model\""]).await;
    assert!(reply.starts_with("HTTP/1.1 400"), "{reply}");
    assert!(reply.contains("too slowly"), "{reply}");
}

/// Guards against a missing timeout for request heads: with a thousand times
/// the timeout, the test hung.
#[tokio::test]
async fn slow_heads_are_given_up() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let reply = exchange(&fixture, &[b"POST /v1/chat/completions HTTP/1.1\r\nhost:"]).await;
    assert!(
        reply.is_empty() || reply.starts_with("HTTP/1.1 408"),
        "{reply}"
    );
}

#[tokio::test]
async fn a_caller_that_closes_its_half_disturbs_nobody() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let mut stream = connect(&fixture).await;
    let head = head("content-length: 100");
    stream.write_all(&head).await.expect("sent");
    stream.write_all(b"{\"mod").await.expect("sent");
    stream.shutdown().await.expect("half closed");
    let reply = read_all(&mut stream).await;
    assert!(
        reply.is_empty() || reply.starts_with("HTTP/1.1 400"),
        "{reply}"
    );
    assert_eq!(fixture.runs(0), 0);
    let good = exchange(&fixture, &[&sized(&chat(MODEL))]).await;
    assert!(good.starts_with("HTTP/1.1 200"), "{good}");
}

#[tokio::test]
async fn unknown_paths_and_methods_are_told() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    for path in [
        "/",
        "/v1/nothing",
        "/v1/services/",
        "/v1/services/harbour/look/../book",
    ] {
        let request = format!("GET {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n");
        let reply = exchange(&fixture, &[request.as_bytes()]).await;
        assert!(reply.starts_with("HTTP/1.1 40"), "{path}: {reply}");
        assert!(
            reply.contains("lagoonlift-outcome: not-run"),
            "{path}: {reply}"
        );
    }
    assert!(fixture.service.calls().is_empty());
}
