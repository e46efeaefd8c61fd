//! Strangers and recorded packets have no effect on a running entry.

use crate::support::{Caller, HANG_GUARD, HostGroup, PEER_KEY_BYTES, loopback};
use lagoonlift::hosts::{
    Datagram, DatagramCodec, DatagramKind, IncarnationId, Member, MemberRecord, PeerKeys, PeerNode,
    ReportedState,
};
use lagoonlift::types::{Incarnation, ProcessId, ProcessRole, Revision};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

const PACKETS: usize = 400;
const CONNECTIONS: usize = 40;

/// Records datagrams that an entry signed, by posing as one of its seeds.
async fn record(socket: &UdpSocket, count: usize) -> Vec<Vec<u8>> {
    let mut recorded = Vec::new();
    let mut buffer = [0; 2_048];
    while recorded.len() < count {
        let received = tokio::time::timeout(HANG_GUARD, socket.recv_from(&mut buffer)).await;
        let (length, _) = received
            .expect("the entry tries its seeds")
            .expect("a packet");
        recorded.push(buffer[..length].to_vec());
    }
    recorded
}

/// Sends recorded packets as they were, changed, cut and as mere noise.
async fn pester(socket: &UdpSocket, target: SocketAddr, recorded: &[Vec<u8>], random: &mut StdRng) {
    for round in 0..PACKETS {
        let mut packet = recorded[round % recorded.len()].clone();
        let position = random.random_range(0..packet.len());
        match round % 4 {
            0 => {}
            1 => packet[position] ^= 1 << (round % 8),
            2 => packet.truncate(position),
            _ => packet.fill_with(|| random.random()),
        }
        socket
            .send_to(&packet, target)
            .await
            .expect("loopback takes it");
    }
}

/// Opens streams and sends noise in place of the greeting.
async fn pester_streams(target: SocketAddr, random: &mut StdRng) {
    for length in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(target).await.expect("it listens");
        let mut nonce = [0; 32];
        stream.read_exact(&mut nonce).await.expect("a nonce");
        let mut noise = vec![0; 2 * length];
        noise.fill_with(|| random.random());
        // The entry may have closed the stream already.
        let _ = stream.write_all(&noise).await;
    }
}

/// Signs a heartbeat of a process that doesn't exist.
fn forge(host: &str, address: SocketAddr, target: &Member, key: [u8; 32]) -> Vec<u8> {
    let process = ProcessId {
        host: host.parse().expect("a valid name"),
        role: ProcessRole::Steward,
    };
    let datagram = Datagram {
        sender: MemberRecord {
            process,
            data_centre: "dc1".parse().expect("a valid name"),
            address,
            incarnation: Incarnation(1),
            refutation: 0,
            state: ReportedState::Alive,
        },
        to: IncarnationId::of(&target.process, target.incarnation),
        sequence: 0,
        kind: DatagramKind::Gossip,
        revision: Revision(0),
        fleets: Vec::new(),
        member_records: Vec::new(),
    };
    let mut packet = Vec::new();
    let codec = DatagramCodec::new(PeerKeys::new(key, None));
    codec
        .encode(&datagram, &mut packet)
        .expect("a small datagram");
    packet
}

/// Waits until the observer lists these hosts, perhaps among others.
async fn wait_for_hosts(observer: &PeerNode, hosts: &[&str]) -> Vec<Member> {
    let listed = |members: &[Member], host: &str| {
        members
            .iter()
            .any(|member| member.process.host.as_str() == host)
    };
    let mut members = observer.members();
    let complete = members.wait_for(|members| hosts.iter().all(|host| listed(members, host)));
    let complete = tokio::time::timeout(HANG_GUARD, complete).await;
    let members = complete
        .expect("all are found")
        .expect("the observer lives");
    members.to_vec()
}

/// What the entries believe is read off by an observer. A process whose forged
/// heartbeat has the right key reaches it over the same path and later than the
/// ghost would.
///
/// Seen failing with the tag of datagrams not checked: the ghost was listed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn noise_replays_and_forgeries_change_nothing() {
    let seed = rand::random();
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let mut group = HostGroup::start(1).await;
    let spy = UdpSocket::bind(loopback()).await.expect("a port");
    let spy_address = spy.local_addr().expect("it is bound");
    group.start_entry("a2", &[("spy", spy_address)]).await;
    let observer = group.observe("watcher", PEER_KEY_BYTES).await;
    let members = wait_for_hosts(&observer, &["a1", "a2", "s1"]).await;
    let recorded = record(&spy, 8).await;
    for (entry, member) in group.entries.iter().zip(&members) {
        let target = entry.ready().peers;
        pester(&spy, target, &recorded, &mut random).await;
        pester_streams(target, &mut random).await;
        let ghost = forge("ghost", spy_address, member, [8; 32]);
        spy.send_to(&ghost, target)
            .await
            .expect("loopback takes it");
        let control = forge("control", spy_address, member, PEER_KEY_BYTES);
        spy.send_to(&control, target)
            .await
            .expect("loopback takes it");
        spy.send_to(&control, target)
            .await
            .expect("loopback takes it");
    }
    let members = wait_for_hosts(&observer, &["control"]).await;
    let hosts: Vec<&str> = members
        .iter()
        .map(|member| member.process.host.as_str())
        .collect();
    assert_eq!(hosts, ["a1", "a2", "control", "s1"]);
    for (index, entry) in group.entries.iter().enumerate() {
        let caller = Caller::new(entry.callers_url(), "key-of-the-plumbers");
        let response = caller.get("/v1/models").send().await.expect("a response");
        assert!(response.status().is_success(), "{response:?}");
        for name in [
            "datagrams_unauthenticated",
            "datagrams_replayed",
            "streams_unauthenticated",
        ] {
            let name = format!("lagoonlift_peer_{name}");
            assert!(group.count(index, &name).await > 0, "{name}");
        }
    }
}

/// A node with a wrong key learns nothing and is on nobody's list.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_with_a_wrong_key_learns_nothing() {
    let group = HostGroup::start(1).await;
    let stranger = group.observe("stranger", [8; 32]).await;
    let observer = group.observe("watcher", PEER_KEY_BYTES).await;
    let mut members = observer.members();
    let complete = members.wait_for(|members| members.len() >= 2);
    let listed = tokio::time::timeout(HANG_GUARD, complete).await;
    drop(listed.expect("all are found").expect("the observer lives"));
    let mut configurations = observer.store().subscribe();
    let configured = configurations.wait_for(|held| held.revision.0 == 1);
    let configured = tokio::time::timeout(HANG_GUARD, configured).await;
    drop(
        configured
            .expect("it is passed on")
            .expect("the observer lives"),
    );
    assert!(stranger.members().borrow().is_empty());
    assert_eq!(stranger.store().revision().0, 0);
    let members = observer.members();
    let listed = members.borrow();
    assert!(
        listed
            .iter()
            .all(|member| member.process.host.as_str() != "stranger")
    );
}
