//! What hosts tell each other of the upstreams, against a plain sum.

use super::support::at_ms;
use lagoonlift_policy::dispatch::{HostLoads, InFlightLoad, PeerLoads, UpstreamDigest, UpstreamId};
use quickcheck::quickcheck;
use std::collections::HashMap;

fn digest(upstream: u8) -> UpstreamDigest {
    UpstreamDigest::new(&UpstreamId(format!("i-{upstream}")))
}

quickcheck! {
    /// However messages overtake each other and hosts fall silent, the total is
    /// the sum of the newest message of each host that was heard lately.
    fn totals_are_the_sum_of_the_newest_messages(
        messages: Vec<(u8, u8, Vec<(u8, u8)>, u8)>
    ) -> bool {
        let mut peers = PeerLoads::new();
        let mut newest: HashMap<u64, (u64, u64, Vec<(u8, u8)>)> = HashMap::new();
        let mut ms = 0;
        for (host, sequence, loads, pause) in messages {
            ms += u64::from(pause);
            let (host, sequence) = (u64::from(host % 4), u64::from(sequence));
            let said = HostLoads {
                loads: loads.iter().map(|(upstream, requests)| {
                    let load = InFlightLoad {
                        requests: u32::from(*requests),
                        reading_tokens: u64::from(*requests) * 9_000,
                    };
                    (digest(upstream % 3), load)
                }).collect(),
                ..HostLoads::default()
            };
            peers.note(at_ms(ms), host, sequence, said);
            let is_newer = newest.get(&host).is_none_or(|known| known.0 < sequence);
            if is_newer {
                newest.insert(host, (sequence, ms, loads));
            }
            peers.forget_silent(at_ms(ms));
            newest.retain(|_, (_, seen, _)| ms - *seen < 350);
            let sums_agree = (0..3).all(|upstream| {
                let sum: u32 = newest.values().flat_map(|known| &known.2)
                    .filter(|(name, _)| name % 3 == upstream)
                    .map(|(_, requests)| u32::from(*requests))
                    .sum();
                let total = peers.on(digest(upstream));
                total.requests == sum && total.reading_tokens == u64::from(sum) * 9_000
            });
            if !sums_agree {
                return false;
            }
        }
        true
    }
}
