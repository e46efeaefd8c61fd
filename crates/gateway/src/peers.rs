//! Messages between hosts: loads in flight, and confirmations that the
//! configuration is current.
//!
//! Messages are UDP datagrams. A lost datagram needs no retransmission, since each
//! message repeats the complete state. A host learns the addresses of its peers
//! from the usage counts in the store and from the datagrams that it receives.

pub(crate) mod quota;
mod usage;
mod versions;

use crate::announcements;
use crate::clock;
use crate::crash_monitor;
use crate::era_monitor::EraSource;
use crate::host_paths;
use crate::state::GatewayState;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    BlameNews, ConfigVersion, EngineRole, HostReport, InFlightLoad, PathNotice, PeerConfirmation,
    PeerConfirmationResult, QuotaMessage, RateNotice, ShownList, StoreStatus, StreamKey,
    StreamLifetime, StreamNotice, UpstreamDigest, UsageCopy, VersionsNotice,
};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Interval between two load messages.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

/// Number of peers that get a load message per interval. If there are more peers,
/// they are addressed in rotation.
const PEERS_PER_INTERVAL: usize = 24;

/// Interval between two queries for confirmations.
const CONFIRMATION_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Age of this host's confirmation from which peers are queried.
const CONFIRMATION_QUERY_AGE: Duration = Duration::from_millis(500);

/// Number of peers queried at once.
const CONFIRMATION_PEERS: usize = 3;

/// Number of store readers (hosts that read the store on behalf of others) that
/// are queried in addition.
const CONFIRMATION_READERS: usize = 2;

/// Largest datagram, in bytes. It fits into one packet at the usual MTU.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Largest number of upstream loads in a load message, so that it fits into a
/// datagram.
const MAX_LOADS: usize = 90;

/// Largest number of engines with an open role order in a load message.
const MAX_CHANGING: usize = 30;

/// Largest number of silent upstreams in a load message.
const MAX_SILENT: usize = 20;

/// Largest number of streams in a message, so that it fits into a datagram.
pub(crate) const MAX_STREAM_NOTICES: usize = 60;

/// A message to a peer, encoded with postcard: the order of variants and fields is
/// the wire format. The lifetimes of the streams or versions in it follow the message, or an
/// empty list of them and the details of its blame; releases that don't know them ignore what
/// follows.
#[derive(Debug, Serialize, Deserialize)]
enum PeerMessage {
    /// Load of the sender.
    Load(LoadMessage),
    /// Queries the receiver's confirmation that its configuration is current.
    /// `asked_at_us` is by the sender's clock and is returned unchanged.
    ConfirmationQuery { asked_at_us: u64 },
    /// Response to a `ConfirmationQuery`, with the configuration version and the
    /// age of its confirmation.
    Confirmation {
        asked_at_us: u64,
        version: u64,
        age_us: u64,
        /// Random number that identifies the sender's incarnation.
        sender: u64,
        /// Wall clock time of the sender, as Unix time.
        unix_us: i64,
        /// What the store has shown the sender of the upstreams.
        shown: Option<ShownList>,
    },
    /// Usage counts of the sender, which the receiver publishes if the sender can't.
    Usage(UsageCopy),
    /// What the sender knows about prefix blocks and requests that crash upstreams.
    Blame(BlameNews),
    /// Queries what is in quarantine and which rates upstreams state. The response consists
    /// of messages `Blame` and `Rates`.
    QuarantineQuery,
    /// What upstreams stated about the rates that they take from all hosts together.
    Rates(Vec<RateNotice>),
    /// Software versions at which streams began.
    Streams(Vec<StreamNotice>),
    /// Queries the version of a stream. The response is a message `Streams` if the receiver
    /// knows it.
    StreamQuery(StreamKey),
    /// What the sender knows of the versions at which a service has served.
    Versions(VersionsNotice),
    /// Elects owners of quotas and grants tokens.
    Quota(QuotaMessage),
    /// Software versions at which streams began, which the receiver writes to the store.
    UnwrittenStreams(Vec<StreamNotice>),
}

impl PeerMessage {
    fn encode(&self) -> postcard::Result<Vec<u8>> {
        let bytes = postcard::to_stdvec(self)?;
        if let Self::Blame(news) = self {
            return postcard::to_extend(&(self.lifetimes(), news.details()), bytes);
        }
        match self.lifetimes() {
            lifetimes if lifetimes.is_empty() => Ok(bytes),
            lifetimes => postcard::to_extend(&lifetimes, bytes),
        }
    }

    fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let (mut message, rest): (Self, _) = postcard::take_from_bytes(bytes)?;
        if rest.is_empty() {
            return Ok(message);
        }
        let (lifetimes, rest) = postcard::take_from_bytes(rest)?;
        message.set_lifetimes(lifetimes);
        if let (Self::Blame(news), false) = (&mut message, rest.is_empty()) {
            news.set_details(postcard::from_bytes(rest)?);
        }
        Ok(message)
    }

    fn lifetimes(&self) -> Vec<StreamLifetime> {
        match self {
            Self::Streams(notices) | Self::UnwrittenStreams(notices) => {
                notices.iter().map(|one| one.lifetime).collect()
            }
            Self::Versions(notice) => {
                let versions = notice.versions.iter();
                let lifetimes = versions.map(|one| one.lifetime);
                lifetimes
                    .map(|one| one.unwrap_or(StreamLifetime::LEAST))
                    .collect()
            }
            _ => Vec::new(),
        }
    }

    fn set_lifetimes(&mut self, lifetimes: Vec<StreamLifetime>) {
        match self {
            Self::Streams(notices) | Self::UnwrittenStreams(notices) => {
                let known = notices.iter_mut().zip(lifetimes);
                known.for_each(|(one, lifetime)| one.lifetime = lifetime);
            }
            Self::Versions(notice) => {
                let known = notice.versions.iter_mut().zip(lifetimes);
                known.for_each(|(one, lifetime)| one.lifetime = Some(lifetime));
            }
            _ => {}
        }
    }
}

/// Load of a host.
#[derive(Debug, Serialize, Deserialize)]
struct LoadMessage {
    /// Random number that identifies the sender's incarnation.
    sender: u64,
    /// Increases with each message, so that reordered messages are recognized.
    sequence: u64,
    status: StoreStatus,
    report: HostReport,
    /// Which services the sender reaches.
    paths: PathNotice,
}

/// Exchanges messages with the peers until the process ends.
pub(crate) async fn exchange(state: Rc<GatewayState>, address: SocketAddr) {
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            tracing::error!(%address, %error, "failed to bind the socket for peers");
            return;
        }
    };
    tokio::task::spawn_local(receive(Rc::clone(&state), Rc::clone(&socket)));
    tokio::task::spawn_local(query_confirmations(Rc::clone(&state), Rc::clone(&socket)));
    let quotas = quota::keep_quotas(Rc::clone(&state), Some(Rc::clone(&socket)));
    tokio::task::spawn_local(quotas);
    if state.settings.duties.is_some() {
        tokio::task::spawn_local(usage::send_copies(Rc::clone(&state), Rc::clone(&socket)));
    }
    let mut sequence = 0;
    let mut was_busy = true;
    for turn in 0_u64.. {
        wait_for_turn(&state, &socket).await;
        crash_monitor::decide(&state);
        send_crash_news(&state, &socket, turn).await;
        send_rate_news(&state, &socket, turn).await;
        versions::send_in_turn(&state, &socket, turn).await;
        state.peer_loads.borrow_mut().expire(clock::now());
        let now = clock::now();
        state.placement.borrow_mut().capacity_mut().expire(now);
        state.store_readers.borrow_mut().expire(clock::now());
        let report = own_report(&state);
        let mut status = state.announced_store_status.get();
        let era = state.store.era().latest();
        if status.era < era {
            // Changes in the new era haven't been read yet.
            status = StoreStatus {
                era,
                upstream_revision: 0,
                ..status
            };
        }
        let is_joining = state.roster.borrow().is_joining(clock::now());
        let paths = host_paths::notice(&state);
        let is_reporting = report != HostReport::default() || paths.has_reached();
        let is_busy = is_reporting || status.is_reading_store || is_joining;
        // After the load drops to zero, one message informs the peers; further
        // ones would repeat it.
        if is_busy || was_busy {
            sequence += 1;
            let message = LoadMessage {
                sender: state.incarnation_id,
                sequence,
                status,
                report,
                paths,
            };
            let peers = next_peers(&state, sequence, PEERS_PER_INTERVAL);
            send(&socket, &PeerMessage::Load(message), &peers).await;
        }
        was_busy = is_busy;
    }
}

/// Waits for the next interval. Crashes, and the versions of streams, are told at once
/// meanwhile.
async fn wait_for_turn(state: &GatewayState, socket: &UdpSocket) {
    let mut interval = pin!(sleep(SEND_INTERVAL));
    loop {
        tokio::select! {
            () = interval.as_mut() => return,
            () = state.crash_news.notified() => {
                send_crash_news(state, socket, rand::random()).await;
            }
            () = state.stream_news.notified() => send_stream_news(state, socket).await,
            () = state.version_news.notified() => versions::send_news(state, socket).await,
        }
    }
}

/// Tells the peers of the round `turn` what is new of crashes and quarantines.
async fn send_crash_news(state: &GatewayState, socket: &UdpSocket, turn: u64) {
    let news = state.crash_quarantine.borrow_mut().news(clock::now());
    if let Some(news) = news {
        let peers = next_peers(state, turn, PEERS_PER_INTERVAL);
        send(socket, &PeerMessage::Blame(news), &peers).await;
    }
}

/// Tells the peers of the round `turn` which rates upstreams stated lately.
async fn send_rate_news(state: &GatewayState, socket: &UdpSocket, turn: u64) {
    let news = state.table.borrow_mut().rate_news(clock::now());
    if !news.is_empty() {
        let peers = next_peers(state, turn, PEERS_PER_INTERVAL);
        send(socket, &PeerMessage::Rates(news), &peers).await;
    }
}

/// Sends copies of the versions of streams that have just begun, and questions about others.
async fn send_stream_news(state: &GatewayState, socket: &UdpSocket) {
    let (copies, questions) = {
        let roster = state.roster.borrow();
        let mut versions = state.stream_versions.borrow_mut();
        let copies = versions.take_news(roster.peers());
        (copies, versions.take_questions(roster.peers()))
    };
    for (peer, notices) in copies {
        send(socket, &PeerMessage::Streams(notices), &[peer]).await;
    }
    for (stream, mut peers) in questions {
        // They have read what hosts wrote that have ended.
        let readers = state.store_readers.borrow().readers_for(rand::random());
        peers.extend(readers);
        send(socket, &PeerMessage::StreamQuery(stream), &peers).await;
    }
    let unwritten = state.archive_messages.take();
    for (archivist, notices) in unwritten {
        let message = PeerMessage::UnwrittenStreams(notices);
        send(socket, &message, &[archivist]).await;
    }
}

/// Returns the loads of this host. If there are too many for a datagram, only the
/// largest are included.
fn own_report(state: &GatewayState) -> HostReport {
    let table = state.table.borrow();
    let busy = table.iter().filter(|(_, one)| one.in_flight > 0);
    let mut loads: Vec<(UpstreamDigest, InFlightLoad)> = busy
        .map(|(_, one)| {
            let load = InFlightLoad {
                requests: one.in_flight,
                prefill_tokens: one.prefill_tokens,
            };
            (one.digest, load)
        })
        .collect();
    if loads.len() > MAX_LOADS {
        loads.sort_unstable_by_key(|(_, load)| Reverse((load.prefill_tokens, load.requests)));
        loads.truncate(MAX_LOADS);
    }
    let open_orders = state.open_role_orders.borrow();
    let changing = open_orders.iter().filter_map(|key| table.get(*key));
    let now = clock::now();
    let serving = table.iter().map(|(_, one)| one);
    let serving = serving.filter(|one| one.record.role != Some(EngineRole::Prefill));
    // What a host that is cut off finds silent may answer others.
    let silent = serving.filter(|one| {
        one.silent_requests(now) > 0 && !host_paths::is_cut_off(state, &one.record.service)
    });
    HostReport {
        loads,
        changing_role: changing.take(MAX_CHANGING).map(|one| one.digest).collect(),
        decode_work: state.decode_work.borrow().clone(),
        silent: silent.take(MAX_SILENT).map(|one| one.digest).collect(),
        sample: state.placement.borrow().capacity().notice(now),
    }
}

/// Queries peers while this host's confirmation is old, until the process ends.
async fn query_confirmations(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    loop {
        sleep(CONFIRMATION_QUERY_INTERVAL).await;
        if !state.has_heard_quarantines.get() {
            let peers = next_peers(&state, rand::random(), CONFIRMATION_PEERS);
            send(&socket, &PeerMessage::QuarantineQuery, &peers).await;
        }
        let asked_at = clock::now();
        let age = state.confirmation().age(asked_at);
        if age.is_some_and(|age| age < CONFIRMATION_QUERY_AGE) {
            continue;
        }
        let query = PeerMessage::ConfirmationQuery {
            asked_at_us: asked_at.0,
        };
        let mut peers = next_peers(&state, rand::random(), CONFIRMATION_PEERS);
        peers.extend(
            state
                .store_readers
                .borrow()
                .reader_addresses()
                .take(CONFIRMATION_READERS),
        );
        send(&socket, &query, &peers).await;
    }
}

async fn send(socket: &UdpSocket, message: &PeerMessage, peers: &[SocketAddr]) {
    let bytes = match message.encode() {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => bytes,
        Ok(bytes) => {
            tracing::debug!(
                bytes = bytes.len(),
                "message exceeds the size of a datagram"
            );
            return;
        }
        Err(error) => {
            tracing::error!(%error, "failed to encode a message");
            return;
        }
    };
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            tracing::debug!(%peer, %error, "failed to send a datagram");
        }
    }
}

/// Returns `count` peers in rotation: those of the round `turn`.
fn next_peers(state: &GatewayState, turn: u64, count: usize) -> Vec<SocketAddr> {
    let others: Vec<SocketAddr> = state.roster.borrow().peers().collect();
    if others.is_empty() {
        return others;
    }
    let start = (turn as usize).wrapping_mul(count) % others.len();
    let count = count.min(others.len());
    let in_turn = others.iter().cycle().skip(start).take(count);
    in_turn.copied().collect()
}

async fn receive(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
    loop {
        let (length, peer) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "failed to receive a datagram");
                sleep(SEND_INTERVAL).await;
                continue;
            }
        };
        let message = match PeerMessage::decode(&buffer[..length]) {
            Ok(message) => message,
            Err(error) => {
                tracing::debug!(%peer, %error, "malformed datagram");
                continue;
            }
        };
        state.roster.borrow_mut().record_message(clock::now(), peer);
        for reply in handle_message(&state, peer, message) {
            send(&socket, &reply, &[peer]).await;
        }
    }
}

/// Handles a message and returns the responses if it is a query.
fn handle_message(
    state: &GatewayState,
    address: SocketAddr,
    message: PeerMessage,
) -> Vec<PeerMessage> {
    let now = clock::now();
    match message {
        PeerMessage::QuarantineQuery => {
            let quarantine = state.crash_quarantine.borrow();
            let news = quarantine.all_quarantines(now).into_iter();
            let rates = state.table.borrow().all_rates(now).into_iter();
            let rates = rates.map(PeerMessage::Rates);
            let versions = versions::messages(state, now);
            let news = news.map(PeerMessage::Blame).chain(rates);
            return news.chain(versions).collect();
        }
        PeerMessage::StreamQuery(stream) => {
            if state.stream_versions.borrow_mut().record_question(stream) {
                state.doubt_asked.notify_waiters();
            }
            let notice = state.stream_versions.borrow().notice_of(now, stream);
            let reply = notice.map(|notice| PeerMessage::Streams(vec![notice]));
            return reply.into_iter().collect();
        }
        PeerMessage::ConfirmationQuery { asked_at_us } => {
            return confirmation(state, now, asked_at_us).into_iter().collect();
        }
        PeerMessage::Load(load) => {
            if let Some(era) = load.status.era {
                state.store.era().record(era, EraSource::Peer);
            }
            let mut readers = state.store_readers.borrow_mut();
            readers.record(now, load.sender, address, load.status);
            let mut paths = state.host_paths.borrow_mut();
            paths.record_notice(now, address, load.paths);
            let mut loads = state.peer_loads.borrow_mut();
            let sample = loads.record(now, load.sender, load.sequence, load.report);
            if let Some(sample) = sample {
                let mut placement = state.placement.borrow_mut();
                placement.capacity_mut().record_from_peer(now, sample);
            }
        }
        PeerMessage::Blame(news) => {
            state.crash_quarantine.borrow_mut().record_news(now, &news);
            state.has_heard_quarantines.set(true);
        }
        PeerMessage::Streams(notices) => {
            let mut versions = state.stream_versions.borrow_mut();
            for notice in notices {
                versions.record_notice(now, notice);
            }
            state.streams_heard.notify_waiters();
        }
        PeerMessage::UnwrittenStreams(notices) => {
            let mut archive = state.stream_archive.borrow_mut();
            let mut served = state.served_versions.borrow_mut();
            for notice in notices {
                served.record_filed_stream(notice.version, notice.lifetime);
                archive.record_unwritten(notice);
            }
        }
        PeerMessage::Rates(notices) => {
            for notice in &notices {
                announcements::record_rate_notice(state, address, notice);
            }
        }
        PeerMessage::Versions(notice) => versions::record(state, now, &notice),
        PeerMessage::Quota(message) => {
            let mut quotas = state.quota_state.quotas.borrow_mut();
            quotas.handle(now, address, message);
            state.quota_state.heard.notify_waiters();
            state.quota_state.has_news.notify_one();
        }
        PeerMessage::Usage(copy) => {
            state.usage_copies.borrow_mut().record(now, copy);
        }
        PeerMessage::Confirmation {
            asked_at_us,
            version,
            age_us,
            sender: peer,
            unix_us,
            shown,
        } => {
            let asked_at = Timestamp(asked_at_us);
            let confirmation = PeerConfirmation {
                version: ConfigVersion(version),
                age: Duration::from_micros(age_us),
            };
            let result = state
                .freshness
                .borrow_mut()
                .record_peer_confirmation(asked_at, confirmation);
            if result == PeerConfirmationResult::Outdated {
                state.config_outdated.notify_one();
            }
            let mut wall = state.wall_clock.borrow_mut();
            wall.record_peer(peer, asked_at, now, unix_us);
            let status = state.announced_store_status.get();
            if let Some(shown) = shown.filter(|shown| shown.is_known_to(status)) {
                // The query was sent before the age was taken.
                let as_of = asked_at - Duration::from_micros(shown.age_us);
                state.table.borrow_mut().record_shown(as_of);
            }
        }
    }
    Vec::new()
}

/// Returns the response to a query for this host's confirmation, if it has one.
fn confirmation(state: &GatewayState, now: Timestamp, asked_at_us: u64) -> Option<PeerMessage> {
    let own = state.freshness.borrow().local_confirmation(now)?;
    let status = state.announced_store_status.get();
    let shown = state.table.borrow().shown_at().map(|at| ShownList {
        era: status.era,
        upstream_revision: status.upstream_revision,
        age_us: now.since(at).as_micros() as u64,
    });
    Some(PeerMessage::Confirmation {
        asked_at_us,
        version: own.version.0,
        age_us: own.age.as_micros() as u64,
        sender: state.incarnation_id,
        unix_us: state.wall_clock.borrow().unix_us(now),
        shown,
    })
}
