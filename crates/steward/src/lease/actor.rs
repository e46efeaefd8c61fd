//! Drives the lease state machine: performs its calls, runs its timer and
//! publishes its grant.

use super::{
    Grant, LeaseAction, LeaseCallFailure, LeaseConfig, LeaseEvent, LeaseRecord, LeaseStateMachine,
    Predecessor, StoredLease,
};
use crate::clock::BootTime;
use crate::counters::StewardCounters;
use lagoonlift_platform::{PlatformClient, PlatformError, Version, VersionedObject};
use lagoonlift_types::DataCentreName;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::sleep;
use xtra::{Actor, Context, Handler, Mailbox, WeakAddress};

/// Shortest delay of the timer.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

/// Configuration and connections of a lease actor.
pub(crate) struct LeaseContext {
    pub(crate) config: LeaseConfig,
    pub(crate) data_centre: DataCentreName,
    pub(crate) client: PlatformClient,
    pub(crate) grants: watch::Sender<Option<Grant>>,
    pub(crate) counters: StewardCounters,
}

/// Owns the lease state machine of one process.
pub(crate) struct LeaseActor {
    machine: LeaseStateMachine,
    key: String,
    client: PlatformClient,
    grants: watch::Sender<Option<Grant>>,
    counters: StewardCounters,
    address: Option<WeakAddress<Self>>,
    timer: Option<AbortHandle>,
    is_grant_withheld: bool,
}

/// The state of the lease as this process sees it.
#[derive(Clone, Debug)]
pub(crate) struct LeaseStatus {
    /// Earlier holders that aren't resolved.
    pub(crate) predecessors: Vec<Predecessor>,
    /// The lease object as last read.
    pub(crate) record: Option<LeaseRecord>,
    /// Whether a release was requested and nothing is left to do for it; see
    /// [`LeaseStateMachine::is_release_complete`].
    pub(crate) is_release_complete: bool,
}

/// Returns the [`LeaseStatus`].
pub(crate) struct GetStatus;

/// Reports resolved predecessors, which are taken to send no more orders of their
/// epoch.
pub(crate) struct MarkResolved(pub(crate) Vec<Predecessor>);

/// Withholds the grant from the tasks of this process from now on, but keeps the lease
/// until [`Release`].
pub(crate) struct WithholdGrant;

/// Releases the lease. The sender ensures that no order of this process is in
/// flight.
pub(crate) struct Release;

/// Sets whether this process is a candidate, which reads the lease more often than
/// other processes. They may take the lease over as well.
pub(crate) struct SetCandidate(pub(crate) bool);

/// An event for the state machine from the actor's own tasks.
struct InternalEvent(LeaseEvent);

impl LeaseActor {
    pub(crate) fn new(context: LeaseContext) -> Self {
        Self {
            machine: LeaseStateMachine::new(context.config),
            key: LeaseRecord::key(&context.data_centre),
            client: context.client,
            grants: context.grants,
            counters: context.counters,
            address: None,
            timer: None,
            is_grant_withheld: false,
        }
    }

    fn handle_event(&mut self, event: LeaseEvent) {
        let action = self.machine.handle(BootTime::now(), event);
        self.publish();
        if let Some(action) = action {
            self.start_call(action);
        }
        self.set_timer();
    }

    fn publish(&self) {
        let grant = self.machine.grant().filter(|_| !self.is_grant_withheld);
        let before = self.grants.send_replace(grant);
        // "lease held" is logged when a grant begins: after a takeover, or when this
        // process regains the grant of an epoch that it still owns. "lease no longer
        // held" is logged when a grant ends: it expired, another process replaced
        // this one, or the grant is withheld or released for a shutdown.
        match (before, grant) {
            (None, Some(grant)) => {
                self.counters.leases_gained.add(1, &[]);
                tracing::info!(epoch = %grant.epoch, "lease held");
            }
            (Some(before), None) => {
                self.counters.leases_ended.add(1, &[]);
                tracing::info!(epoch = %before.epoch, "lease no longer held");
            }
            _ => {}
        }
    }

    fn start_call(&self, action: LeaseAction) {
        let Some(address) = self.address.clone() else {
            return;
        };
        let (client, key) = (self.client.clone(), self.key.clone());
        tokio::spawn(async move {
            let event = match action {
                LeaseAction::Read => LeaseEvent::ReadCompleted(read(&client, &key).await),
                LeaseAction::Write { record, condition } => {
                    LeaseEvent::WriteCompleted(write(&client, &key, &record, condition).await)
                }
            };
            // The actor may have stopped in the meantime; the event is of no use
            // then.
            let _ = address.send(InternalEvent(event)).await;
        });
    }

    fn set_timer(&mut self) {
        let Some(address) = self.address.clone() else {
            return;
        };
        let wait = self
            .machine
            .wake_at()
            .since(BootTime::now())
            .max(MIN_TIMER_DELAY);
        let timer = tokio::spawn(async move {
            sleep(wait).await;
            let _ = address.send(InternalEvent(LeaseEvent::TimerFired)).await;
        });
        if let Some(timer) = self.timer.replace(timer.abort_handle()) {
            timer.abort();
        }
    }
}

async fn read(
    client: &PlatformClient,
    key: &str,
) -> Result<Option<Box<StoredLease>>, LeaseCallFailure> {
    let object = client.get(key).await.map_err(call_failure)?;
    object.map(stored_lease).transpose()
}

async fn write(
    client: &PlatformClient,
    key: &str,
    record: &LeaseRecord,
    condition: Option<Version>,
) -> Result<Version, LeaseCallFailure> {
    let written = match condition {
        Some(version) => client.update(key, record, version).await,
        None => client.create(key, record).await,
    };
    written.map_err(call_failure)
}

fn call_failure(error: PlatformError) -> LeaseCallFailure {
    match error {
        PlatformError::Conflict { current } => match current.map(|c| stored_lease(*c)) {
            Some(Ok(lease)) => LeaseCallFailure::Conflict(Some(lease)),
            Some(Err(failure)) => failure,
            None => LeaseCallFailure::Conflict(None),
        },
        PlatformError::OutcomeUnknown { .. } => LeaseCallFailure::OutcomeUnknown,
        PlatformError::Unavailable { .. }
        | PlatformError::RateLimited { .. }
        | PlatformError::Rejected { .. }
        | PlatformError::Malformed { .. } => LeaseCallFailure::NotApplied,
    }
}

/// Parses the record. A malformed record counts as a call with an unknown outcome,
/// so it neither confirms a write nor allows a takeover.
fn stored_lease(object: VersionedObject) -> Result<Box<StoredLease>, LeaseCallFailure> {
    match object.parse() {
        Ok(record) => Ok(Box::new(StoredLease {
            record,
            version: object.version,
        })),
        Err(error) => {
            tracing::error!(%error, "the lease is malformed");
            Err(LeaseCallFailure::OutcomeUnknown)
        }
    }
}

impl Actor for LeaseActor {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), ()> {
        self.address = Some(mailbox.address());
        self.handle_event(LeaseEvent::TimerFired);
        Ok(())
    }

    async fn stopped(self) {
        if let Some(timer) = self.timer {
            timer.abort();
        }
        self.grants.send_replace(None);
    }
}

impl Handler<InternalEvent> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, message: InternalEvent, _: &mut Context<Self>) {
        self.handle_event(message.0);
    }
}

impl Handler<SetCandidate> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, message: SetCandidate, _: &mut Context<Self>) {
        self.handle_event(LeaseEvent::CandidateChanged(message.0));
    }
}

impl Handler<MarkResolved> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, message: MarkResolved, _: &mut Context<Self>) {
        self.handle_event(LeaseEvent::PredecessorsResolved(message.0));
    }
}

impl Handler<WithholdGrant> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, _: WithholdGrant, _: &mut Context<Self>) {
        self.is_grant_withheld = true;
        self.publish();
    }
}

impl Handler<Release> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, _: Release, _: &mut Context<Self>) {
        self.handle_event(LeaseEvent::ReleaseRequested);
    }
}

impl Handler<GetStatus> for LeaseActor {
    type Return = LeaseStatus;

    async fn handle(&mut self, _: GetStatus, _: &mut Context<Self>) -> LeaseStatus {
        LeaseStatus {
            predecessors: self.machine.predecessors(),
            record: self.machine.record().cloned(),
            is_release_complete: self.machine.is_release_complete(),
        }
    }
}
