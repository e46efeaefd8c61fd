//! Selects the candidates of a data centre: the stewards that watch the configuration
//! at the platform and read the lease often.
//!
//! If every steward did, the number of calls to the platform would grow with the
//! fleet. A few candidates are enough for a fast takeover. The other stewards read the
//! lease only every ten terms, but may take it over as well. Each process derives
//! the candidates from its own view of the cluster members. Views may differ, in
//! which case a few more calls are made or a takeover is delayed. Correctness
//! doesn't depend on the selection: only the lease grants authority.

use crate::lease::{LeaseActor, SetCandidate};
use lagoonlift_hosts::{Member, MemberState};
use lagoonlift_types::{DataCentreName, ProcessId, ProcessRole};
use std::sync::Arc;
use tokio::sync::watch;
use xtra::Address;

/// Number of candidates in each data centre.
const CANDIDATES_PER_DATA_CENTRE: usize = 3;

/// Receives whether this process is a candidate.
#[derive(Clone, Debug)]
pub(crate) struct CandidateFlag(watch::Receiver<bool>);

impl CandidateFlag {
    pub(crate) fn new(receiver: watch::Receiver<bool>) -> Self {
        Self(receiver)
    }

    pub(crate) fn is_set(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until this process is a candidate. Never returns once the sender of
    /// the flag has been dropped, which happens only at shutdown.
    pub(crate) async fn wait_until_set(&mut self) {
        if self.0.wait_for(|is_candidate| *is_candidate).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Returns whether `own` is a candidate: one of the first
/// [`CANDIDATES_PER_DATA_CENTRE`] live stewards of its data centre, in the order
/// of host names.
pub(crate) fn is_candidate(
    own: &ProcessId,
    data_centre: &DataCentreName,
    members: &[Member],
) -> bool {
    let earlier = members.iter().filter(|member| {
        member.process.role == ProcessRole::Steward
            && member.data_centre == *data_centre
            && member.state == MemberState::Alive
            && member.process.host < own.host
    });
    earlier.count() < CANDIDATES_PER_DATA_CENTRE
}

/// Updates the flag and the lease actor on each change of the members, until the
/// peer node shuts down.
pub(crate) async fn track_candidacy(
    own: ProcessId,
    data_centre: DataCentreName,
    mut members: watch::Receiver<Arc<Vec<Member>>>,
    flag: watch::Sender<bool>,
    lease: Address<LeaseActor>,
) {
    // The lease actor assumes that it is a candidate until the first message, so
    // the first value is always sent.
    let mut last_sent = None;
    loop {
        let is_now_candidate = is_candidate(&own, &data_centre, &members.borrow_and_update());
        flag.send_if_modified(|flag| std::mem::replace(flag, is_now_candidate) != is_now_candidate);
        if last_sent != Some(is_now_candidate)
            && lease.send(SetCandidate(is_now_candidate)).await.is_err()
        {
            return;
        }
        last_sent = Some(is_now_candidate);
        if members.changed().await.is_err() {
            return;
        }
    }
}
