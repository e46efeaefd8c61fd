//! Tests of answers that are none: with an odd status or an odd line in their heads, with a head
//! that stops in its middle, and early ones that break off while the request is written.

use bytes::Bytes;
use http::{HeaderMap, Method};
use lagoonlift_types::RequestId;
use lagoonlift_upstreams::{
    ConnectionUse, EngineClient, SendError, ServiceCall, ServiceClient, ServiceResponse,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Longest wait for a part of a response.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Bytes of an upload that is longer than what the kernel takes for a service that doesn't read.
const UPLOAD_BYTES: usize = 16_000_000;

/// How a connection ends after the bytes that were written on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// In order.
    Close,
    /// By a reset.
    Reset,
    /// In order on the sending side, and by a reset later.
    ShutdownReset,
}

/// Starts a server that reads the head of a request, writes `bytes` and ends the connection.
async fn start_server(bytes: Vec<u8>, end: ConnectionEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, bytes.clone(), end));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, bytes: Vec<u8>, end: ConnectionEnd) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
    stream.write_all(&bytes).await.expect("writes");
    sleep(Duration::from_millis(50)).await;
    if end == ConnectionEnd::ShutdownReset {
        stream.shutdown().await.expect("ends its side");
        sleep(Duration::from_millis(100)).await;
    }
    if end != ConnectionEnd::Close {
        stream.set_zero_linger().expect("an option");
    }
}

/// Calls a service with a body of this many bytes.
async fn call(address: SocketAddr, body_bytes: usize) -> Result<ServiceResponse, SendError> {
    let client = ServiceClient::new(address).expect("a client");
    let call = ServiceCall {
        request: RequestId::new(),
        attempt: 1,
        method: Method::POST,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'u'; body_bytes]),
        connection: ConnectionUse::Fresh,
        header_timeout: MAX_WAIT,
    };
    client.send(call).await
}

/// Returns whether a response is read to its end.
async fn is_whole(mut response: ServiceResponse) -> bool {
    loop {
        match response.next(MAX_WAIT).await {
            Ok(Some(_)) => {}
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}

/// Guards against statuses that no answer has, and against lines of a head that no field has.
#[tokio::test]
async fn odd_heads_are_no_answers() {
    let lines: [&[u8]; 9] = [
        b"X Odd: 1",
        b"X-Odd : 1",
        b" X-Odd: 1",
        b"X\x01Odd: 1",
        b"X\0Odd: 1",
        b": 1",
        b"X-Odd",
        b"Content-Length : 1",
        b"Transfer-Encoding : chunked",
    ];
    let statuses = ["000", "001", "099", "1000", "20", "+200", ""];
    let heads = statuses
        .map(|status| format!("HTTP/1.1 {status} OK").into_bytes())
        .into_iter()
        .chain(lines.map(|line| [b"HTTP/1.1 200 OK\r\n", line].concat()));
    for head in heads {
        let what = head.escape_ascii().to_string();
        let end = b"\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
        let address = start_server([head, end.to_vec()].concat(), ConnectionEnd::Close).await;
        let response = call(address, 10).await;
        assert!(
            matches!(response, Err(SendError::ConnectionLost(_))),
            "{what}: {response:?}"
        );
        let engine = EngineClient::new(address).expect("a client");
        let progress = engine.order_progress("o1", MAX_WAIT).await;
        assert!(
            matches!(progress, Err(SendError::ConnectionLost(_))),
            "{what}: {progress:?}"
        );
    }
}

/// Guards against a head that stops in its middle and is taken for a whole one.
#[tokio::test]
async fn cut_heads_are_no_answers() {
    let head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    for length in (1..head.len()).step_by(3).chain([head.len() - 1]) {
        for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
            let address = start_server(head[..length].to_vec(), end).await;
            let response = call(address, 10).await;
            let is_lost = matches!(response, Err(SendError::ConnectionLost(_)));
            assert!(is_lost, "{length} bytes, {end:?}: {response:?}");
        }
    }
}

/// Guards against a part of an early answer without a length that is taken for a whole answer,
/// though the request was still being written when the service ended the connection.
#[tokio::test]
async fn early_answers_to_unfinished_uploads_are_not_whole() {
    for end in [
        ConnectionEnd::Close,
        ConnectionEnd::Reset,
        ConnectionEnd::ShutdownReset,
    ] {
        for _ in 0..5 {
            let part = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part";
            let address = start_server(part.to_vec(), end).await;
            if let Ok(response) = call(address, UPLOAD_BYTES).await {
                assert!(!is_whole(response).await, "{end:?}");
            }
        }
    }
}

/// Guards against whole answers that are taken for parts: without a length after a request that
/// was read, and with one before that.
#[tokio::test]
async fn whole_answers_are_passed_on() {
    for (head, body_bytes) in [
        ("HTTP/1.1 200 OK", 0),
        ("HTTP/1.1 200 OK", 10),
        ("HTTP/1.1 200 OK\r\nContent-Length: 5", UPLOAD_BYTES),
    ] {
        let bytes = format!("{head}\r\n\r\nwhole").into_bytes();
        let end = ConnectionEnd::ShutdownReset;
        let address = start_server(bytes, end).await;
        let response = call(address, body_bytes).await.expect("a response");
        assert!(is_whole(response).await, "{head}, {body_bytes} bytes");
    }
}
