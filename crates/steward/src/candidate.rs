//! Which stewards of a data centre follow the platform closely.
//!
//! If each steward watched the lease and the configuration, the platform's
//! calls would grow with the fleet. A few candidates are enough to replace a
//! holder soon. Who is one follows from the members that a process knows, which
//! is only a hint: two processes may disagree, and then a few more calls are
//! made or a takeover comes a little later. Authority rests with the lease.

use crate::lease::{LeaseActor, SetCandidate};
use lagoonlift_hosts::{Member, MemberState};
use lagoonlift_types::{DataCentreName, ProcessId, ProcessRole};
use std::sync::Arc;
use tokio::sync::watch;
use xtra::Address;

/// Stewards of a data centre that follow the platform closely.
const CANDIDATES_PER_DATA_CENTRE: usize = 3;

/// Whether this process is a candidate.
#[derive(Clone, Debug)]
pub(crate) struct CandidateFlag(watch::Receiver<bool>);

impl CandidateFlag {
    pub(crate) fn new(receiver: watch::Receiver<bool>) -> Self {
        Self(receiver)
    }

    pub(crate) fn is_set(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until this process is a candidate; for ever once it ends.
    pub(crate) async fn wait_until_set(&mut self) {
        if self.0.wait_for(|is_candidate| *is_candidate).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Decides whether `own` is a candidate among the members that it knows.
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

/// Keeps the flag and the lease up to date until the node ends.
pub(crate) async fn track_candidacy(
    own: ProcessId,
    data_centre: DataCentreName,
    mut members: watch::Receiver<Arc<Vec<Member>>>,
    flag: watch::Sender<bool>,
    lease: Address<LeaseActor>,
) {
    // The lease's actor counts itself as a candidate until it is told.
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
