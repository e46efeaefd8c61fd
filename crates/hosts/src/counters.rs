//! Counts of what a node sent, received and refused.

use opentelemetry::metrics::Meter;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident => $name:literal,)*) => {
        /// What is counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum PeerCounter {
            $($(#[$doc])* $variant,)*
        }

        impl PeerCounter {
            /// All counters.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the counter's name in metrics.
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
    /// Datagrams received, refused ones included.
    DatagramsReceived => "datagrams_received",
    /// Bytes of datagrams received, without IP and UDP headers.
    DatagramBytesReceived => "datagram_bytes_received",
    /// Datagrams refused because no accepted key signed them.
    DatagramsUnauthenticated => "datagrams_unauthenticated",
    /// Datagrams refused because their body didn't parse.
    DatagramsMalformed => "datagrams_malformed",
    /// Datagrams refused because they were seen before, or meant for another
    /// incarnation.
    DatagramsReplayed => "datagrams_replayed",
    /// Bytes of stream frames sent.
    StreamBytesSent => "stream_bytes_sent",
    /// Bytes of stream frames received.
    StreamBytesReceived => "stream_bytes_received",
    /// Streams refused because the opener didn't know an accepted key.
    StreamsUnauthenticated => "streams_unauthenticated",
    /// Streams ended because a frame was malformed, or an end went away.
    StreamsFailed => "streams_failed",
    /// Streams refused because too many were open.
    StreamsRefused => "streams_refused",
    /// Configurations taken from another process.
    ConfigurationsPulled => "configurations_pulled",
    /// Attempts to take a configuration or fleet view that failed.
    PullsFailed => "pulls_failed",
    /// Members that stopped answering.
    MembersSuspected => "members_suspected",
    /// Batches of usage records that were copied to a neighbour.
    UsageBatchesCopied => "usage_batches_copied",
    /// Batches of usage records that a neighbour didn't confirm.
    UsageBatchesFailed => "usage_batches_failed",
}

/// The counts of one node.
#[derive(Debug, Default)]
pub struct PeerCounters {
    values: [AtomicU64; PeerCounter::ALL.len()],
    /// Other processes that take part, as far as is known now.
    members: AtomicU64,
}

impl PeerCounters {
    /// Returns a count since the node's start.
    pub fn get(&self, counter: PeerCounter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn set_members(&self, members: usize) {
        self.members.store(members as u64, Ordering::Relaxed);
    }

    /// Shows all counts in the metrics of the process, under their names with
    /// `lagoonlift_peer_` in front, and the number of members.
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
