//! Tests of responses without end.

use lagoonlift_upstreams::{EngineClient, SendError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Longest wait for a response, and the time within which one that is too large must have ended.
const MAX_WAIT: Duration = Duration::from_secs(8);
const END_TIME: Duration = Duration::from_secs(4);

/// Bytes that may have been written by then, of which the kernel holds a part.
const MAX_WRITTEN_BYTES: usize = 32 * 1024 * 1024;

/// Starts an engine whose responses hold numbers without end. Returns its address and the bytes
/// that it has written.
async fn start_endless_engine(status: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let written = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&written);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let head = format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\n\r\n[");
                let _ = stream.write_all(head.as_bytes()).await;
                let numbers = "1,".repeat(32 * 1024);
                while stream.write_all(numbers.as_bytes()).await.is_ok() {
                    count.fetch_add(numbers.len(), Ordering::SeqCst);
                }
            });
        }
    });
    (address, written)
}

/// Guards against an engine whose endless status, load or list of events fills the memory of a
/// process that asks for it.
#[tokio::test]
async fn endless_responses_to_control_calls_end_at_their_size_limit() {
    for call in ["load", "events", "progress", "status"] {
        let (address, written) = start_endless_engine("200 OK").await;
        let client = EngineClient::new(address).expect("a client");
        let started = Instant::now();
        let error = match call {
            "load" => {
                let connection = lagoonlift_upstreams::ConnectionUse::Fresh;
                client.load(connection, MAX_WAIT).await.err()
            }
            "events" => client.cache_events(0, MAX_WAIT).await.err(),
            "progress" => client.order_progress("o1", MAX_WAIT).await.err(),
            _ => client.status(MAX_WAIT).await.err(),
        };
        let elapsed = started.elapsed();
        assert!(
            matches!(error, Some(SendError::ConnectionLost(_))),
            "{call}: {error:?}"
        );
        assert!(elapsed < END_TIME, "{call}: {elapsed:?}");
        let written = written.load(Ordering::SeqCst);
        assert!(written < MAX_WRITTEN_BYTES, "{call}: {written} bytes");
    }
}
