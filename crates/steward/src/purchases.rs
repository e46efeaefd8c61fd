//! Ordering upstreams from the platform.
//!
//! An order for upstreams costs money, so it must not be placed twice because
//! an answer was lost. It is recorded under its identifier first; whatever
//! happens afterwards, only what the record says is sent, under that
//! identifier, until the platform has accepted or refused it.

use crate::counters::StewardCounters;
use crate::lease::Authority;
use lagoonlift_platform::wire::{SupplyChange, UpstreamOrder};
use lagoonlift_platform::{PlatformClient, PlatformError, Version, Versioned};
use lagoonlift_types::{Configuration, DataCentreName, Epoch};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Longest time that one watch waits at the platform.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after a failed call until the next.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// How far an order for upstreams is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PurchaseState {
    /// It may have been sent.
    Recorded,
    /// The platform has accepted it.
    Accepted,
    /// The platform has refused it.
    Refused,
}

/// An order for upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PurchaseRecord {
    /// What is sent, each time.
    pub order: UpstreamOrder,
    /// How far it is.
    pub state: PurchaseState,
}

impl PurchaseRecord {
    /// Returns the object key of an order.
    pub fn key(data_centre: &DataCentreName, id: &str) -> String {
        format!("{}{id}", Self::prefix(data_centre))
    }

    fn prefix(data_centre: &DataCentreName) -> String {
        format!("purchases/{data_centre}/")
    }

    /// Returns by how much the order changes the number of ordered upstreams.
    fn count_change(&self) -> i64 {
        match (&self.order.change, self.state) {
            (_, PurchaseState::Refused) => 0,
            (SupplyChange::Add(add), _) => i64::from(add.count),
            (SupplyChange::Release(_), _) => -1,
        }
    }
}

/// An operator's request to order upstreams or give one back. The last part of
/// its key identifies the order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PurchaseRequest {
    /// What is wanted.
    pub change: SupplyChange,
}

impl PurchaseRequest {
    /// Returns the object key of a request.
    pub fn key(data_centre: &DataCentreName, id: &str) -> String {
        format!("{}{id}", Self::prefix(data_centre))
    }

    fn prefix(data_centre: &DataCentreName) -> String {
        format!("upstream-requests/{data_centre}/")
    }
}

/// What a purchase runner is made of.
pub(crate) struct PurchaseContext {
    pub(crate) data_centre: DataCentreName,
    pub(crate) client: PlatformClient,
    pub(crate) authority: Authority,
    pub(crate) configurations: watch::Receiver<Arc<Configuration>>,
    pub(crate) counters: StewardCounters,
}

/// Places the orders for upstreams of one data centre.
pub(crate) struct PurchaseRunner {
    context: PurchaseContext,
}

/// Why a round of work ended early.
enum Interruption {
    /// The lease isn't held any more.
    LeaseLost,
    /// A call failed.
    Failed(PlatformError),
}

impl From<PlatformError> for Interruption {
    fn from(error: PlatformError) -> Self {
        Self::Failed(error)
    }
}

impl PurchaseRunner {
    pub(crate) fn new(context: PurchaseContext) -> Self {
        Self { context }
    }

    /// Runs until dropped.
    pub(crate) async fn run(self) {
        let mut authority = self.context.authority.clone();
        loop {
            let epoch = authority.wait_for_grant().await;
            let round = tokio::select! {
                round = self.serve(epoch) => round,
                () = authority.wait_for_end(epoch) => continue,
            };
            if let Err(Interruption::Failed(error)) = round {
                tracing::debug!(%error, "a call for ordering upstreams failed");
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Finishes what is recorded, records what is requested, and waits.
    async fn serve(&self, epoch: Epoch) -> Result<(), Interruption> {
        let client = &self.context.client;
        let prefix = PurchaseRecord::prefix(&self.context.data_centre);
        let mut ordered_count = 0;
        for object in client.list(&prefix).await?.objects {
            let record: PurchaseRecord = object.parse()?;
            ordered_count += record.count_change();
            self.place_order(epoch, record, object.version).await?;
        }
        let prefix = PurchaseRequest::prefix(&self.context.data_centre);
        let requests = client.list(&prefix).await?;
        for object in requests.objects {
            let id = object
                .key
                .strip_prefix(&prefix)
                .unwrap_or_default()
                .to_owned();
            ordered_count += self
                .process_request(epoch, &id, object, ordered_count)
                .await?;
        }
        client
            .watch(&prefix, requests.version, WATCH_TIMEOUT)
            .await?;
        Ok(())
    }

    /// Records a request as an order, unless it is recorded, and places it.
    /// Returns by how much it changes the number of ordered upstreams.
    async fn process_request(
        &self,
        epoch: Epoch,
        id: &str,
        object: Versioned,
        ordered_count: i64,
    ) -> Result<i64, Interruption> {
        let request: PurchaseRequest = object.parse()?;
        let order = UpstreamOrder {
            change: request.change,
            data_centre: self.context.data_centre.to_string(),
            epoch: epoch.0,
            id: id.to_owned(),
        };
        let mut record = PurchaseRecord {
            order,
            state: PurchaseState::Recorded,
        };
        if record.count_change() + ordered_count > self.order_limit() && record.count_change() > 0 {
            tracing::warn!(id, "an order for upstreams is above the limit");
            record.state = PurchaseState::Refused;
        }
        self.check_lease(epoch)?;
        let key = PurchaseRecord::key(&self.context.data_centre, id);
        let change = match self.context.client.create(&key, &record).await {
            Ok(version) => {
                let change = record.count_change();
                self.place_order(epoch, record, version).await?;
                change
            }
            // Recorded before: it is counted, and finished in the next round.
            Err(PlatformError::Conflict { .. }) => 0,
            Err(error) => return Err(error.into()),
        };
        match self
            .context
            .client
            .delete(&object.key, object.version)
            .await
        {
            Ok(()) | Err(PlatformError::Conflict { .. }) => Ok(change),
            Err(error) => Err(error.into()),
        }
    }

    /// Places a recorded order and notes the answer.
    async fn place_order(
        &self,
        epoch: Epoch,
        mut record: PurchaseRecord,
        version: Version,
    ) -> Result<(), Interruption> {
        if record.state != PurchaseState::Recorded {
            return Ok(());
        }
        self.check_lease(epoch)?;
        self.context.counters.upstream_orders.add(1, &[]);
        record.state = match self.context.client.order_upstreams(&record.order).await {
            Ok(()) => PurchaseState::Accepted,
            Err(PlatformError::Rejected { status }) => {
                tracing::warn!(
                    id = record.order.id,
                    status,
                    "an order for upstreams is refused"
                );
                PurchaseState::Refused
            }
            Err(error) => return Err(error.into()),
        };
        self.check_lease(epoch)?;
        let key = PurchaseRecord::key(&self.context.data_centre, &record.order.id);
        match self.context.client.update(&key, &record, version).await {
            Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    fn check_lease(&self, epoch: Epoch) -> Result<(), Interruption> {
        match self.context.authority.holds(epoch) {
            true => Ok(()),
            false => Err(Interruption::LeaseLost),
        }
    }

    fn order_limit(&self) -> i64 {
        let configuration = self.context.configurations.borrow();
        let capacity = configuration.data_centres.get(&self.context.data_centre);
        capacity.map_or(0, |capacity| i64::from(capacity.order_limit))
    }
}
