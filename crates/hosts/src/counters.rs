//! Counters of messages that the own node sent, received and rejected.

use opentelemetry::metrics::Meter;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident => $name:literal,)*) => {
        /// The counters of the own node.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum PeerCounter {
            $($(#[$doc])* $variant,)*
        }

        impl PeerCounter {
            /// All counters.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the counter's name in metrics, without the prefix.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

counters! {
    /// Datagrams sent.
    DatagramsSent => "datagrams_sent",
    /// Bytes of datagrams sent, without IP and UDP headers.
    DatagramBytesSent => "datagram_bytes_sent",
    /// Datagrams received, including rejected ones.
    DatagramsReceived => "datagrams_received",
    /// Bytes of datagrams received, without IP and UDP headers.
    DatagramBytesReceived => "datagram_bytes_received",
    /// Datagrams rejected because no accepted key signed them.
    DatagramsUnauthenticated => "datagrams_unauthenticated",
    /// Datagrams rejected because their body couldn't be decoded.
    DatagramsMalformed => "datagrams_malformed",
    /// Datagrams rejected because they were received before or are too old to
    /// tell, were addressed to another incarnation of a process, came from an
    /// earlier incarnation of the sender, or came from this process itself.
    DatagramsReplayed => "datagrams_replayed",
    /// Bytes of stream frames sent.
    StreamBytesSent => "stream_bytes_sent",
    /// Bytes of stream frames received.
    StreamBytesReceived => "stream_bytes_received",
    /// Accepted streams that ended because the handshake or a frame had no valid
    /// tag, or because the handshake timed out.
    StreamsUnauthenticated => "streams_unauthenticated",
    /// Accepted streams that ended because the connection failed, a frame was too
    /// long, a message couldn't be decoded or encoded, or a batch of usage records
    /// was refused.
    StreamsFailed => "streams_failed",
    /// Streams rejected because too many were open.
    StreamsRefused => "streams_refused",
    /// Configurations pulled from peers.
    ConfigurationsPulled => "configurations_pulled",
    /// Failed attempts to pull a configuration, a fleet view or a list of
    /// members.
    PullsFailed => "pulls_failed",
    /// Members that stopped responding.
    MembersSuspected => "members_suspected",
    /// Batches of usage records that were copied to a peer.
    UsageBatchesCopied => "usage_batches_copied",
    /// Batches of usage records that a peer didn't confirm.
    UsageBatchesFailed => "usage_batches_failed",
}

/// The counter values of the own node.
#[derive(Debug, Default)]
pub struct PeerCounters {
    values: [AtomicU64; PeerCounter::ALL.len()],
    /// Number of other processes that are currently members.
    members: AtomicU64,
}

impl PeerCounters {
    /// Returns the value of a counter since the node started.
    pub fn get(&self, counter: PeerCounter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn set_members(&self, members: usize) {
        self.members.store(members as u64, Ordering::Relaxed);
    }

    /// Registers all counters with `meter` under their names with the prefix
    /// `lagoonlift_peer_`, and a gauge of the number of members.
    pub fn observe(self: &Arc<Self>, meter: &Meter) {
        for counter in PeerCounter::ALL {
            let counters = Arc::clone(self);
            let name = format!("lagoonlift_peer_{}", counter.name());
            let builder = meter.u64_observable_counter(name);
            builder
                .with_callback(move |observer| observer.observe(counters.get(*counter), &[]))
                .build();
        }
        let counters = Arc::clone(self);
        let members = move || counters.members.load(Ordering::Relaxed);
        meter
            .u64_observable_gauge("lagoonlift_peer_members")
            .with_callback(move |observer| observer.observe(members(), &[]))
            .build();
    }

    pub(crate) fn add(&self, counter: PeerCounter, amount: u64) {
        self.values[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    pub(crate) fn increment(&self, counter: PeerCounter) {
        self.add(counter, 1);
    }
}
