//! Selection of the membership records that the next datagram carries.
//!
//! Each record is sent a number of times that grows with the logarithm of the
//! number of known processes, which reaches every member with high probability.
//! A periodic comparison of complete lists finds the members that missed it.

use super::MemberKey;
use super::table::MemberTable;
use crate::wire::MemberRecord;
use std::collections::BTreeMap;

/// Maximum size of the membership records in one datagram, in bytes.
const MAX_GOSSIP_BYTES: usize = 320;
/// Size of an encoded record without its names, in bytes.
const RECORD_BASE_BYTES: usize = 28;
/// How often a record is sent for each doubling of the number of known
/// processes.
const SENDS_PER_DOUBLING: u32 = 2;

/// Members whose records are still being sent, with the number of sends so far.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    send_counts: BTreeMap<MemberKey, u32>,
}

impl GossipQueue {
    /// Starts sending the record of a member.
    pub(crate) fn add(&mut self, key: MemberKey) {
        self.send_counts.insert(key, 0);
    }

    /// Appends the records that were sent least often to `member_records`, as
    /// many as fit.
    ///
    /// `other_processes` is the number of other processes that are known, including
    /// dead members. It determines how often each record is sent.
    pub(crate) fn fill(
        &mut self,
        table: &MemberTable,
        receiver: MemberKey,
        other_processes: usize,
        member_records: &mut Vec<MemberRecord>,
    ) {
        let doublings = usize::BITS - (other_processes + 1).leading_zeros();
        let max_sends = SENDS_PER_DOUBLING * doublings;
        let mut candidates: Vec<(u32, MemberKey)> = self
            .send_counts
            .iter()
            .map(|(key, sent)| (*sent, *key))
            .collect();
        candidates.sort_unstable();
        let mut bytes = 0;
        for (sent, key) in candidates {
            let Some(entry) = table.get(key) else {
                self.send_counts.remove(&key);
                continue;
            };
            if key == receiver {
                continue;
            }
            bytes += record_bytes(&entry.record);
            if bytes > MAX_GOSSIP_BYTES {
                break;
            }
            member_records.push(entry.record.clone());
            match sent + 1 {
                sent if sent >= max_sends => self.send_counts.remove(&key),
                sent => self.send_counts.insert(key, sent),
            };
        }
    }
}

fn record_bytes(record: &MemberRecord) -> usize {
    RECORD_BASE_BYTES + record.process.host.as_str().len() + record.data_centre.as_str().len()
}
