//! Handover of engines that ignore fencing tokens.
//!
//! Such an engine accepts orders from any process that reaches it, including a
//! former holder that was paused between its last check of the lease and its
//! write to the socket. No timeout rules that out. A holder that lost the lease
//! therefore writes a step-down object once it has no send in flight. A successor
//! sends orders to these engines only after each earlier holder is resolved, which
//! means that it is taken to send no more orders of its epoch. An earlier holder is
//! resolved if one of the following holds:
//!
//! * It has written its step-down. Its process may still run and may hold the lease
//!   again in a later epoch.
//! * The platform's fleet list hasn't contained its host for [`ABSENCE_THRESHOLD`].
//! * It was an earlier incarnation of the successor's own process, and this
//!   incarnation listens on the process's fixed address.

use crate::clock::BootTime;
use crate::lease::{Authority, GetStatus, LeaseActor, LeaseIdentity, MarkResolved, Predecessor};
use crate::orders::OutstandingSends;
use lagoonlift_platform::wire::FleetList;
use lagoonlift_platform::{PlatformClient, PlatformError};
use lagoonlift_types::{DataCentreName, Epoch, HostName};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use xtra::Address;

/// Polling interval for step-downs and for calls that failed.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a host must be missing from the fleet list to count as gone.
const ABSENCE_THRESHOLD: Duration = Duration::from_secs(10);

/// Returns the key of the object that confirms that the holder of an epoch sends no
/// more orders of that epoch.
fn step_down_key(data_centre: &DataCentreName, epoch: Epoch) -> String {
    format!("step-downs/{data_centre}/{epoch}")
}

/// Confirms to successors that this process sends no more orders of an epoch that it
/// has lost.
#[derive(Clone)]
pub(crate) struct StepDownWriter {
    pub(crate) data_centre: DataCentreName,
    pub(crate) identity: LeaseIdentity,
    pub(crate) client: PlatformClient,
    pub(crate) authority: Authority,
    pub(crate) lease: Address<LeaseActor>,
    pub(crate) outstanding: OutstandingSends,
}

impl StepDownWriter {
    /// Writes a step-down for each epoch that this process loses. Runs until
    /// dropped.
    ///
    /// A process may have an epoch without ever learning of its grant: it was paused
    /// before it had read the response to its write. Its successor names the epoch in the
    /// lease object.
    pub(crate) async fn run(mut self) {
        let mut tasks = JoinSet::new();
        let mut epochs = BTreeSet::new();
        loop {
            let owned = tokio::select! {
                epoch = self.next_grant(&epochs) => vec![epoch],
                () = sleep(POLL_INTERVAL) => self.replaced_epochs().await,
            };
            for epoch in owned {
                if epochs.insert(epoch) {
                    let writer = self.clone();
                    tasks.spawn(async move { writer.step_down(epoch).await });
                }
            }
            while tasks.try_join_next().is_some() {}
        }
    }

    /// Waits for a grant with an epoch that isn't one of `known`.
    async fn next_grant(&mut self, known: &BTreeSet<Epoch>) -> Epoch {
        loop {
            let epoch = self.authority.wait_for_grant().await;
            if !known.contains(&epoch) {
                return epoch;
            }
            self.authority.wait_for_end(epoch).await;
        }
    }

    /// Returns the epochs of this process that the current holder takes for unresolved.
    async fn replaced_epochs(&self) -> Vec<Epoch> {
        let status = self.lease.send(GetStatus).await;
        let record = status.ok().and_then(|status| status.record);
        let predecessors = record.into_iter().flat_map(|record| record.predecessors);
        let own = predecessors.filter(|predecessor| predecessor.identity == self.identity);
        own.map(|predecessor| predecessor.epoch).collect()
    }

    async fn step_down(&self, epoch: Epoch) {
        // While the lease object still names this epoch, this process may regain
        // it.
        while !self.is_replaced(epoch).await {
            sleep(POLL_INTERVAL).await;
        }
        // A send is registered as outstanding before its lease check, so once
        // none is outstanding, no further order of this epoch can follow.
        self.outstanding.wait_until_empty().await;
        let key = step_down_key(&self.data_centre, epoch);
        let record = Predecessor {
            epoch,
            identity: self.identity.clone(),
        };
        loop {
            match self.client.create(&key, &record).await {
                Ok(_) | Err(PlatformError::Conflict { .. }) => break,
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
        tracing::info!(%epoch, "stepped down");
    }

    async fn is_replaced(&self, epoch: Epoch) -> bool {
        let status = self.lease.send(GetStatus).await;
        let record = status.ok().and_then(|status| status.record);
        record.is_some_and(|record| record.epoch > epoch)
    }
}

/// The platform's fleet list and the time at which it was read.
#[derive(Clone, Debug)]
pub(crate) struct FleetListSnapshot {
    pub(crate) list: FleetList,
    pub(crate) read_at: BootTime,
}

/// Determines which earlier holders are resolved.
pub(crate) struct HandoverResolver {
    pub(crate) data_centre: DataCentreName,
    pub(crate) identity: LeaseIdentity,
    /// Whether earlier incarnations of this process must have ended because this
    /// one listens on their fixed address.
    pub(crate) replaces_earlier_incarnations: bool,
    pub(crate) client: PlatformClient,
    pub(crate) authority: Authority,
    pub(crate) lease: Address<LeaseActor>,
    pub(crate) lists: watch::Receiver<Option<Arc<FleetListSnapshot>>>,
    /// Channel to which the epoch is sent once every earlier holder is resolved.
    pub(crate) completed: watch::Sender<Option<Epoch>>,
}

impl HandoverResolver {
    /// Runs until the lease actor stops.
    pub(crate) async fn run(mut self) {
        let mut absences = AbsenceTracker::default();
        loop {
            let epoch = self.authority.wait_for_grant().await;
            let Ok(status) = self.lease.send(GetStatus).await else {
                return;
            };
            let snapshot = self.lists.borrow().clone();
            if let Some(snapshot) = &snapshot {
                absences.observe(snapshot, &status.predecessors);
            }
            if self.resolve(&status.predecessors, &absences).await {
                continue;
            }
            let lists_own_host =
                snapshot.is_some_and(|snapshot| self.lists_own_host(&snapshot.list));
            if status.predecessors.is_empty() && lists_own_host {
                self.completed
                    .send_if_modified(|completed| completed.replace(epoch) != Some(epoch));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Reports the resolved predecessors to the lease actor. Returns whether there
    /// were any.
    ///
    /// A predecessor whose host is absent counts as resolved even if the list doesn't
    /// contain this process's own host.
    async fn resolve(&self, predecessors: &[Predecessor], absences: &AbsenceTracker) -> bool {
        let mut resolved = Vec::new();
        for predecessor in predecessors {
            let is_earlier_incarnation = self.replaces_earlier_incarnations
                && predecessor.identity.process == self.identity.process
                && predecessor.identity != self.identity;
            let host = &predecessor.identity.process.host;
            if is_earlier_incarnation
                || absences.is_gone(host)
                || self.has_stepped_down(predecessor).await
            {
                resolved.push(predecessor.clone());
            }
        }
        let has_resolved = !resolved.is_empty();
        if has_resolved {
            // If the actor has stopped, the caller's next message fails.
            let _ = self.lease.send(MarkResolved(resolved)).await;
        }
        has_resolved
    }

    async fn has_stepped_down(&self, predecessor: &Predecessor) -> bool {
        let key = step_down_key(&self.data_centre, predecessor.epoch);
        let record = self.client.get_as::<Predecessor>(&key).await;
        record.is_ok_and(|record| record.is_some_and(|(record, _)| record == *predecessor))
    }

    /// Returns whether the platform lists this process's own host. If it doesn't, the
    /// list may be incomplete, and the handover isn't reported as complete. Absences
    /// in such a list still resolve predecessors, see [`Self::resolve`].
    fn lists_own_host(&self, list: &FleetList) -> bool {
        is_host_listed(list, &self.identity.process.host)
    }
}

/// Returns whether the platform lists `host`.
fn is_host_listed(list: &FleetList, host: &HostName) -> bool {
    list.hosts.iter().any(|entry| entry.name == host.as_str())
}

/// Tracks how long hosts have been missing from the platform's fleet list.
#[derive(Debug, Default)]
struct AbsenceTracker {
    missing: BTreeMap<HostName, AbsenceSpan>,
}

/// The read times of the first and the last of consecutive lists without a host.
#[derive(Clone, Copy, Debug)]
struct AbsenceSpan {
    first: BootTime,
    last: BootTime,
}

impl AbsenceTracker {
    fn observe(&mut self, snapshot: &FleetListSnapshot, predecessors: &[Predecessor]) {
        for predecessor in predecessors {
            let host = &predecessor.identity.process.host;
            if is_host_listed(&snapshot.list, host) {
                self.missing.remove(host);
                continue;
            }
            let span = AbsenceSpan {
                first: snapshot.read_at,
                last: snapshot.read_at,
            };
            let span = self.missing.entry(host.clone()).or_insert(span);
            span.last = snapshot.read_at;
        }
    }

    fn is_gone(&self, host: &HostName) -> bool {
        let span = self.missing.get(host);
        span.is_some_and(|span| span.last.since(span.first) >= ABSENCE_THRESHOLD)
    }
}
