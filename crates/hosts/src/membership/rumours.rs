//! Which member_records ride along with the next datagram.
//!
//! A fact is passed on a number of times that grows with the logarithm of the
//! membership; that reaches everyone with high probability, and a full
//! comparison now and then finds whom it missed.

use super::MemberKey;
use super::table::MemberTable;
use crate::wire::MemberRecord;
use std::collections::BTreeMap;

/// Bytes of one datagram that member_records may take.
const BUDGET_BYTES: usize = 320;
/// Bytes of a fact besides its names.
const FACT_BYTES: usize = 28;
/// Times that a fact is passed on for each doubling of the membership.
const REPEATS_PER_DOUBLING: u32 = 2;

/// Facts that are still to be passed on, with how often they were.
#[derive(Debug, Default)]
pub(crate) struct RumourQueue {
    sent: BTreeMap<MemberKey, u32>,
}

impl RumourQueue {
    /// Starts passing on what is held true of a member.
    pub(crate) fn add(&mut self, key: MemberKey) {
        self.sent.insert(key, 0);
    }

    /// Adds to `member_records` those passed on least, as many as fit.
    pub(crate) fn fill(
        &mut self,
        table: &MemberTable,
        receiver: MemberKey,
        members: usize,
        member_records: &mut Vec<MemberRecord>,
    ) {
        let doublings = usize::BITS - (members + 1).leading_zeros();
        let limit = REPEATS_PER_DOUBLING * doublings;
        let mut candidates: Vec<(u32, MemberKey)> =
            self.sent.iter().map(|(key, sent)| (*sent, *key)).collect();
        candidates.sort_unstable();
        let mut bytes = 0;
        for (sent, key) in candidates {
            let Some(entry) = table.get(key) else {
                self.sent.remove(&key);
                continue;
            };
            if key == receiver {
                continue;
            }
            bytes += fact_bytes(&entry.fact);
            if bytes > BUDGET_BYTES {
                break;
            }
            member_records.push(entry.fact.clone());
            match sent + 1 {
                sent if sent >= limit => self.sent.remove(&key),
                sent => self.sent.insert(key, sent),
            };
        }
    }
}

fn fact_bytes(fact: &MemberRecord) -> usize {
    FACT_BYTES + fact.process.host.as_str().len() + fact.data_centre.as_str().len()
}
