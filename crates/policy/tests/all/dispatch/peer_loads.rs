//! Tests of the load totals from peer reports against a simple sum.

use super::support::at_ms;
use lagoonlift_policy::dispatch::{
    HostReport, InFlightLoad, PeerLoads, UpstreamDigest, UpstreamId,
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::collections::HashMap;

/// Time after which a silent host's report expires, in milliseconds.
const REPORT_TTL_MS: u64 = 350;

/// Number of upstreams in the reports.
const UPSTREAMS: u8 = 3;

/// A datagram of one of four hosts.
#[derive(Clone, Debug)]
struct Message {
    host: u64,
    sequence: u64,
    /// Requests in flight by upstream; an upstream may occur twice.
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

/// The latest message of a host, and when it arrived.
struct LatestMessage {
    message: Message,
    received_ms: u64,
}

fn digest(upstream: u8) -> UpstreamDigest {
    UpstreamDigest::new(&UpstreamId(format!("i-{upstream}")))
}

quickcheck! {
    /// Whichever messages arrive out of order and whichever hosts fall silent, the
    /// total is the sum of the latest message of each host whose report has not
    /// expired.
    fn totals_are_the_sum_of_the_latest_messages(messages: Vec<Message>) -> bool {
        let mut peers = PeerLoads::new();
        let mut latest: HashMap<u64, LatestMessage> = HashMap::new();
        let mut now_ms = 0;
        messages.into_iter().all(|message| {
            now_ms += message.pause_ms;
            peers.record(at_ms(now_ms), message.host, message.sequence, message.report());
            let known = latest.get(&message.host);
            if known.is_none_or(|known| known.message.sequence < message.sequence) {
                latest.insert(message.host, LatestMessage { message, received_ms: now_ms });
            }
            peers.expire(at_ms(now_ms));
            latest.retain(|_, known| now_ms - known.received_ms < REPORT_TTL_MS);
            (0..UPSTREAMS).all(|upstream| {
                let sum: u32 = latest
                    .values()
                    .map(|known| known.message.requests_on(upstream))
                    .sum();
                let total = peers.in_flight_on(digest(upstream));
                total.requests == sum && total.prefill_tokens == u64::from(sum) * 9_000
            })
        })
    }
}
