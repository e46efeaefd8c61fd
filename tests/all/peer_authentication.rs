//! Unauthenticated peers and replayed packets have no effect on a running entry daemon.

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

/// Receives `count` datagrams that an entry daemon signed and sent to `socket`, which is
/// one of its seeds.
async fn record_datagrams(socket: &UdpSocket, count: usize) -> Vec<Vec<u8>> {
    let mut recorded = Vec::new();
    let mut buffer = [0; 2_048];
    while recorded.len() < count {
        let received = tokio::time::timeout(HANG_GUARD, socket.recv_from(&mut buffer)).await;
        let (length, _) = received
            .expect("the entry daemon contacts its seeds")
            .expect("a packet");
        recorded.push(buffer[..length].to_vec());
    }
    recorded
}

/// Sends the recorded packets to `target`, in turn unchanged, with a flipped bit,
/// truncated, and filled with random bytes.
async fn send_invalid_packets(
    socket: &UdpSocket,
    target: SocketAddr,
    recorded: &[Vec<u8>],
    random: &mut StdRng,
) {
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
            .expect("the datagram can be sent");
    }
}

/// Opens streams and sends random bytes in place of the handshake.
async fn send_invalid_handshakes(target: SocketAddr, random: &mut StdRng) {
    for length in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(target)
            .await
            .expect("the entry daemon accepts connections");
        let mut nonce = [0; 32];
        stream
            .read_exact(&mut nonce)
            .await
            .expect("the stream starts with a nonce");
        let mut noise = vec![0; 2 * length];
        noise.fill_with(|| random.random());
        // The write fails if the entry daemon has closed the stream.
        let _ = stream.write_all(&noise).await;
    }
}

/// Returns a gossip datagram from a process that doesn't exist, signed with `key`.
fn forge_datagram(host: &str, address: SocketAddr, target: &Member, key: [u8; 32]) -> Vec<u8> {
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

/// Waits until the observer lists at least these hosts; returns all listed members.
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
        .expect("the observer lists the members")
        .expect("the observer runs");
    members.to_vec()
}

/// An observer reports the members that the entry daemons list. The host `control`, whose
/// forged heartbeat has the right key, is sent after the host `ghost` over the same path,
/// so the observer would list `ghost` first.
///
/// The test failed when the authentication tag of datagrams wasn't checked: `ghost` was
/// listed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn noise_replays_and_forgeries_change_nothing() {
    let seed = rand::random();
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let mut group = HostGroup::start(1).await;
    let seed_socket = UdpSocket::bind(loopback())
        .await
        .expect("loopback has a free port");
    let seed_address = seed_socket
        .local_addr()
        .expect("a bound socket has an address");
    group.start_entry("a2", &[("spy", seed_address)]).await;
    let observer = group.join_as_observer("watcher", PEER_KEY_BYTES).await;
    let members = wait_for_hosts(&observer, &["a1", "a2", "s1"]).await;
    let recorded = record_datagrams(&seed_socket, 8).await;
    for (entry, member) in group.entries.iter().zip(&members) {
        let target = entry.ready().peers;
        send_invalid_packets(&seed_socket, target, &recorded, &mut random).await;
        send_invalid_handshakes(target, &mut random).await;
        let ghost = forge_datagram("ghost", seed_address, member, [8; 32]);
        seed_socket
            .send_to(&ghost, target)
            .await
            .expect("the datagram can be sent");
        let control = forge_datagram("control", seed_address, member, PEER_KEY_BYTES);
        seed_socket
            .send_to(&control, target)
            .await
            .expect("the datagram can be sent");
        seed_socket
            .send_to(&control, target)
            .await
            .expect("the datagram can be sent");
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
            assert!(group.metric_value(index, &name).await > 0, "{name}");
        }
    }
}

/// A node with a wrong key receives neither members nor a configuration, and no peer lists
/// it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_with_a_wrong_key_learns_nothing() {
    let group = HostGroup::start(1).await;
    let wrong_key_node = group.join_as_observer("stranger", [8; 32]).await;
    let observer = group.join_as_observer("watcher", PEER_KEY_BYTES).await;
    let mut members = observer.members();
    let complete = members.wait_for(|members| members.len() >= 2);
    let listed = tokio::time::timeout(HANG_GUARD, complete).await;
    drop(
        listed
            .expect("the observer lists the members")
            .expect("the observer runs"),
    );
    let mut configurations = observer.store().subscribe();
    let configured = configurations.wait_for(|held| held.revision.0 == 1);
    let configured = tokio::time::timeout(HANG_GUARD, configured).await;
    drop(
        configured
            .expect("the observer receives the configuration")
            .expect("the observer runs"),
    );
    assert!(wrong_key_node.members().borrow().is_empty());
    assert_eq!(wrong_key_node.store().revision().0, 0);
    let members = observer.members();
    let listed = members.borrow();
    assert!(
        listed
            .iter()
            .all(|member| member.process.host.as_str() != "stranger")
    );
}
