//! Unauthenticated streams, replayed streams, and peers that stop.

use crate::support::{
    config, configuration, manifest_of, range_of, record, start, start_all, wait_for,
    within_timeout,
};
use lagoonlift_hosts::{OfferOutcome, PeerCounter, PeerNode};
use lagoonlift_types::{Revision, UsageRecord};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Waits until a counter reaches a value.
async fn wait_for_count(node: &PeerNode, counter: PeerCounter, count: u64) {
    let counters = node.counters();
    within_timeout(async {
        while counters.get(counter) < count {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

/// A proxy between two nodes that records the bytes that the initiators of
/// streams send.
struct RecordingProxy {
    address: SocketAddr,
    recordings: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl RecordingProxy {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("the listener is bound");
        let recordings = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&recordings);
        tokio::spawn(async move {
            while let Ok((initiator, _)) = listener.accept().await {
                tokio::spawn(forward_stream(initiator, target, Arc::clone(&recorded)));
            }
        });
        Self {
            address,
            recordings,
        }
    }
}

async fn forward_stream(
    mut initiator: TcpStream,
    target: SocketAddr,
    recorded: Arc<Mutex<Vec<Vec<u8>>>>,
) {
    let Ok(mut responder) = TcpStream::connect(target).await else {
        return;
    };
    let index = {
        let mut recorded = recorded
            .lock()
            .expect("no thread panicked while holding the lock");
        recorded.push(Vec::new());
        recorded.len() - 1
    };
    let (mut from_initiator, mut to_initiator) = initiator.split();
    let (mut from_responder, mut to_responder) = responder.split();
    let forward = async {
        let mut buffer = [0; 4_096];
        while let Ok(length @ 1..) = from_initiator.read(&mut buffer).await {
            recorded
                .lock()
                .expect("no thread panicked while holding the lock")[index]
                .extend(&buffer[..length]);
            if to_responder.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    };
    let back = tokio::io::copy(&mut from_responder, &mut to_initiator);
    tokio::select! {
        () = forward => {}
        _ = back => {}
    }
}

/// A recorded stream that is replayed to the same node is rejected. Fails if
/// the session key doesn't include the responder's nonce.
#[tokio::test]
async fn a_recorded_stream_is_rejected() {
    let responder = start(config("h0", &[])).await;
    let proxy = RecordingProxy::start(responder.local_addr()).await;
    let initiator = start(config("h1", &[])).await;
    let (manifest, chunks) = manifest_of(&configuration(1, &[("plumbers", &["secret"])]));
    assert_eq!(
        responder.store().offer(manifest, chunks),
        OfferOutcome::Accepted
    );
    let pulled = within_timeout(initiator.pull_configuration(proxy.address)).await;
    pulled.expect("the proxy forwards all bytes");
    assert_eq!(initiator.store().revision(), Revision(1));
    let recorded = proxy
        .recordings
        .lock()
        .expect("no thread panicked while holding the lock")[0]
        .clone();
    assert!(!recorded.is_empty());
    let mut stream = TcpStream::connect(responder.local_addr())
        .await
        .expect("the node is listening");
    stream.write_all(&recorded).await.expect("the node reads");
    wait_for_count(&responder, PeerCounter::StreamsUnauthenticated, 1).await;
}

/// Fails if streams accept only the signing key.
#[tokio::test]
async fn nodes_in_adjacent_phases_of_a_key_rotation_work_together() {
    let (old, new) = ([1; 32], [2; 32]);
    let phases = [(old, None), (old, Some(new)), (new, Some(old)), (new, None)];
    for pair in phases.windows(2) {
        let config_with_keys = |host, seeds: &[SocketAddr], (key, other_key)| {
            let mut config = config(host, seeds);
            (config.key, config.other_key) = (key, other_key);
            config
        };
        let first = start(config_with_keys("h0", &[], pair[0])).await;
        let second = start(config_with_keys("h1", &[first.local_addr()], pair[1])).await;
        for (revision, origin, other) in [(1, &first, &second), (2, &second, &first)] {
            let (manifest, chunks) = manifest_of(&configuration(revision, &[("a", &["k"])]));
            assert_eq!(
                origin.store().offer(manifest, chunks),
                OfferOutcome::Accepted
            );
            let mut receiver = other.store().subscribe();
            wait_for(&mut receiver, |held| held.revision == Revision(revision)).await;
        }
    }
}

#[tokio::test]
async fn unauthenticated_bytes_on_a_stream_are_counted() {
    let node = start(config("h0", &[])).await;
    let mut stream = TcpStream::connect(node.local_addr())
        .await
        .expect("the node is listening");
    stream.write_all(&[9; 200]).await.expect("the node reads");
    wait_for_count(&node, PeerCounter::StreamsUnauthenticated, 1).await;
}

fn holder_count(nodes: &[PeerNode], records: &[UsageRecord]) -> usize {
    let holds = |node: &&PeerNode| {
        let held = node.held_copies();
        held.iter().any(|held| held.range == range_of(records))
    };
    nodes.iter().filter(holds).count()
}

/// Fails if a new peer receives only the records that weren't sent to the
/// previous one: it would reject them, and no copy would be confirmed.
#[tokio::test]
async fn a_new_peer_gets_every_uncovered_record() {
    let mut nodes = start_all(3).await;
    wait_for(&mut nodes[0].members(), |members| members.len() == 2).await;
    let records: Vec<UsageRecord> = (0..3).map(|sequence| record("h0", sequence)).collect();
    for copied in &records[..2] {
        let result = within_timeout(nodes[0].copy_usage(copied.clone())).await;
        assert_eq!(result, Ok(()));
    }
    let holder = (1..3).find(|index| holder_count(&nodes[*index..=*index], &records[..2]) == 1);
    drop(nodes.remove(holder.expect("one of the peers confirmed")));
    let result = within_timeout(nodes[0].copy_usage(records[2].clone())).await;
    assert_eq!(result, Ok(()));
    assert_eq!(holder_count(&nodes[1..], &records), 1);
}
