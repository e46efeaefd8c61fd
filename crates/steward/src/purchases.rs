//! Purchases upstreams from the platform.
//!
//! A purchase is an order for upstreams that is sent to the platform, as opposed to an
//! order to an engine (see `orders`). It costs money, so a lost response must not lead
//! to a second one. Each purchase is recorded with its identifier before it is sent.
//! Every send, by this or a later lease holder, repeats the record exactly until the
//! platform accepts or refuses the purchase. The configured order limit limits the
//! number of upstreams purchased.

use crate::counters::StewardCounters;
use crate::lease::Authority;
use lagoonlift_platform::wire::{SupplyChange, UpstreamOrder};
use lagoonlift_platform::{PlatformClient, PlatformError, Version, VersionedObject};
use lagoonlift_policy::dispatch::is_plain_name;
use lagoonlift_types::{Configuration, DataCentreName, Epoch};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time after which the platform ends a watch that saw no change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before the next attempt after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// State of a purchase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PurchaseState {
    /// The purchase is recorded and may have been sent.
    Recorded,
    /// The platform has accepted the purchase.
    Accepted,
    /// The platform has refused the purchase, or it exceeded the order limit.
    Refused,
}

/// A purchase, stored as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PurchaseRecord {
    /// The purchase as sent to the platform, identical in every attempt.
    pub order: UpstreamOrder,
    /// State of the purchase.
    pub state: PurchaseState,
}

impl PurchaseRecord {
    /// Returns the object key of a purchase.
    pub fn key(data_centre: &DataCentreName, id: &str) -> String {
        format!("{}{id}", Self::prefix(data_centre))
    }

    fn prefix(data_centre: &DataCentreName) -> String {
        format!("purchases/{data_centre}/")
    }

    /// Returns the change of the number of purchased upstreams by this purchase. A
    /// release counts as minus one.
    fn count_change(&self) -> i64 {
        match (&self.order.change, self.state) {
            (_, PurchaseState::Refused) => 0,
            (SupplyChange::Add(add), _) => i64::from(add.count),
            (SupplyChange::Release(_), _) => -1,
        }
    }
}

/// A request to purchase upstreams or release one, stored as JSON by an operator or
/// the planner. The last part of its key is the identifier of the purchase.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PurchaseRequest {
    /// The requested change.
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

/// Configuration and connections of a purchase runner.
pub(crate) struct PurchaseContext {
    pub(crate) data_centre: DataCentreName,
    pub(crate) client: PlatformClient,
    pub(crate) authority: Authority,
    pub(crate) configurations: watch::Receiver<Arc<Configuration>>,
    pub(crate) counters: StewardCounters,
}

/// Sends the purchases of one data centre to the platform.
pub(crate) struct PurchaseRunner {
    context: PurchaseContext,
}

/// Why a round ended early.
enum Interruption {
    /// This process no longer holds the lease.
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
                tracing::debug!(%error, "failed to process orders for upstreams");
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Completes recorded purchases, processes new requests and waits for further ones.
    async fn serve(&self, epoch: Epoch) -> Result<(), Interruption> {
        let client = &self.context.client;
        let prefix = PurchaseRecord::prefix(&self.context.data_centre);
        let mut purchased_count = 0;
        for object in client.list(&prefix).await?.objects {
            let record = match read_object::<PurchaseRecord>(&object, &prefix) {
                Some((id, record)) if record.order.id == id => record,
                _ => continue,
            };
            purchased_count += record.count_change();
            self.send_purchase(epoch, record, object.version).await?;
        }
        let prefix = PurchaseRequest::prefix(&self.context.data_centre);
        let requests = client.list(&prefix).await?;
        for object in requests.objects {
            let Some((id, request)) = read_object(&object, &prefix) else {
                continue;
            };
            let version = object.version;
            purchased_count += self
                .process_request(epoch, id, request, version, purchased_count)
                .await?;
        }
        client
            .watch(&prefix, requests.version, WATCH_TIMEOUT)
            .await?;
        Ok(())
    }

    /// Records a request as a purchase, sends the purchase and deletes the request.
    /// Returns the change of the number of purchased upstreams, which is zero if the
    /// purchase was recorded before.
    async fn process_request(
        &self,
        epoch: Epoch,
        id: &str,
        request: PurchaseRequest,
        version: Version,
        purchased_count: i64,
    ) -> Result<i64, Interruption> {
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
        if record.count_change() + purchased_count > self.order_limit() && record.count_change() > 0
        {
            tracing::warn!(id, "refused an order for upstreams above the order limit");
            record.state = PurchaseState::Refused;
        }
        self.check_lease(epoch)?;
        let key = PurchaseRecord::key(&self.context.data_centre, id);
        let change = match self.context.client.create(&key, &record).await {
            Ok(version) => {
                let change = record.count_change();
                self.send_purchase(epoch, record, version).await?;
                change
            }
            // The purchase was recorded before. It is already counted, and the next
            // round completes it.
            Err(PlatformError::Conflict { .. }) => 0,
            Err(error) => return Err(error.into()),
        };
        let key = PurchaseRequest::key(&self.context.data_centre, id);
        match self.context.client.delete(&key, version).await {
            Ok(()) | Err(PlatformError::Conflict { .. }) => Ok(change),
            Err(error) => Err(error.into()),
        }
    }

    /// Sends a recorded purchase and records the platform's response.
    async fn send_purchase(
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
                    "the platform refused an order for upstreams"
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

/// Returns the identifier and the value of an object, or `None`, with a log line, if another
/// writer left it: calls name objects by their identifiers.
fn read_object<'a, T: DeserializeOwned>(
    object: &'a VersionedObject,
    prefix: &str,
) -> Option<(&'a str, T)> {
    let id = object.key.strip_prefix(prefix);
    match (id.filter(|id| is_plain_name(id)), object.parse()) {
        (Some(id), Ok(value)) => Some((id, value)),
        (id, value) => {
            tracing::warn!(
                key = object.key,
                has_plain_name = id.is_some(),
                error = value.err().map(|error| error.to_string()),
                "ignored a malformed object about purchases"
            );
            None
        }
    }
}
