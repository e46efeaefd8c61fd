//! What hosts tell each other of the upstreams, against a plain sum.

use super::support::at_ms;
use lagoonlift_policy::dispatch::{
    HostReport, InFlightLoad, PeerLoads, UpstreamDigest, UpstreamId,
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::collections::HashMap;

/// Time after which a silent host counts as idle, in milliseconds.
const FORGET_MS: u64 = 350;

/// Upstreams that are told of.
const UPSTREAMS: u8 = 3;

/// A datagram of one of four hosts.
#[derive(Clone, Debug)]
struct Message {
    host: u64,
    sequence: u64,
    /// Requests in flight by upstream; one may be named twice.
    requests: Vec<(u8, u32)>,
    pause_ms: u64,
}

impl Arbitrary for Message {
    fn arbitrary(g: &mut Gen) -> Self {
        let pairs = Vec::<(u8, u8)>::arbitrary(g);
        let requests = pairs
            .iter()
            .map(|(upstream, requests)| (upstream % UPSTREAMS, u32::from(*requests)));
        Self {
            host: u64::from(u8::arbitrary(g) % 4),
            sequence: u64::from(u8::arbitrary(g)),
            requests: requests.collect(),
            pause_ms: u64::from(u8::arbitrary(g)),
        }
    }
}

impl Message {
    fn report(&self) -> HostReport {
        let load = |requests| InFlightLoad {
            requests,
            prefill_tokens: u64::from(requests) * 9_000,
        };
        let loads = self.requests.iter();
        HostReport {
            loads: loads
                .map(|(upstream, requests)| (digest(*upstream), load(*requests)))
                .collect(),
            ..HostReport::default()
        }
    }

    fn requests_on(&self, upstream: u8) -> u32 {
        let on = self.requests.iter().filter(|(name, _)| *name == upstream);
        on.map(|(_, requests)| requests).sum()
    }
}

/// The newest message of a host, and when it came.
struct Newest {
    message: Message,
    seen_ms: u64,
}

fn digest(upstream: u8) -> UpstreamDigest {
    UpstreamDigest::new(&UpstreamId(format!("i-{upstream}")))
}

quickcheck! {
    /// However messages overtake each other and hosts fall silent, the total is
    /// the sum of the newest message of each host that was heard lately.
    fn totals_are_the_sum_of_the_newest_messages(messages: Vec<Message>) -> bool {
        let mut peers = PeerLoads::new();
        let mut newest: HashMap<u64, Newest> = HashMap::new();
        let mut now_ms = 0;
        messages.into_iter().all(|message| {
            now_ms += message.pause_ms;
            peers.record(at_ms(now_ms), message.host, message.sequence, message.report());
            let known = newest.get(&message.host);
            if known.is_none_or(|known| known.message.sequence < message.sequence) {
                newest.insert(message.host, Newest { message, seen_ms: now_ms });
            }
            peers.expire(at_ms(now_ms));
            newest.retain(|_, known| now_ms - known.seen_ms < FORGET_MS);
            (0..UPSTREAMS).all(|upstream| {
                let sum: u32 = newest
                    .values()
                    .map(|known| known.message.requests_on(upstream))
                    .sum();
                let total = peers.in_flight_on(digest(upstream));
                total.requests == sum && total.prefill_tokens == u64::from(sum) * 9_000
            })
        })
    }
}
