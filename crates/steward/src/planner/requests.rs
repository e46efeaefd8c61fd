//! Writes what is planned as requests, and sees when they have been carried out.

use crate::{EngineRequest, PurchaseRequest};
use lagoonlift_platform::wire::{SupplyChange, SupplyRequest, UpstreamSupply};
use lagoonlift_platform::{PlatformClient, PlatformError};
use lagoonlift_types::{DataCentreName, ModelName, Supply, UpstreamName};
use lagoonlift_upstreams::EngineChange;
use std::collections::BTreeSet;
use uuid::Uuid;

/// Writes requests for one data centre.
pub(crate) struct RequestWriter {
    data_centre: DataCentreName,
    client: PlatformClient,
    /// Engines with a request of this planner that was there at the last look.
    open: BTreeSet<UpstreamName>,
}

impl RequestWriter {
    pub(crate) fn new(data_centre: DataCentreName, client: PlatformClient) -> Self {
        Self {
            data_centre,
            client,
            open: BTreeSet::new(),
        }
    }

    /// Returns the engines whose planned change hasn't ended.
    pub(crate) fn open(&self) -> &BTreeSet<UpstreamName> {
        &self.open
    }

    /// Asks for a change of an engine. A request that another has written first
    /// stays as it is.
    ///
    /// A write whose answer was lost counts as written: the next look at the
    /// requests tells.
    pub(crate) async fn change_engine(&mut self, upstream: &UpstreamName, change: EngineChange) {
        let key = EngineRequest::key(&self.data_centre, upstream);
        let request = EngineRequest {
            id: Uuid::now_v7().to_string(),
            change,
            planned: true,
        };
        self.open.insert(upstream.clone());
        if let Err(error) = self.client.create(&key, &request).await {
            tracing::debug!(%error, %upstream, "a planned change can't be requested now");
        }
    }

    /// Orders more upstreams.
    ///
    /// # Errors
    ///
    /// Fails when the request certainly or possibly wasn't written.
    pub(crate) async fn order_upstreams(
        &self,
        model: &ModelName,
        supply: Supply,
        count: u32,
    ) -> Result<(), PlatformError> {
        let request = SupplyRequest {
            count,
            model: model.to_string(),
            supply: match supply {
                Supply::Reserved => UpstreamSupply::Reserved,
                Supply::Reclaimable => UpstreamSupply::Reclaimable,
            },
        };
        self.purchase(SupplyChange::Add(request)).await
    }

    /// Gives an ordered upstream back.
    ///
    /// # Errors
    ///
    /// Fails when the request certainly or possibly wasn't written.
    pub(crate) async fn release_upstream(&self, name: &UpstreamName) -> Result<(), PlatformError> {
        self.purchase(SupplyChange::Release(name.to_string())).await
    }

    /// Looks which requests are left; returns the engines whose change ended.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be asked; nothing counts as ended then.
    pub(crate) async fn take_ended(&mut self) -> Result<Vec<UpstreamName>, PlatformError> {
        let mut ended = Vec::new();
        for upstream in &self.open {
            let key = EngineRequest::key(&self.data_centre, upstream);
            if self.client.get(&key).await?.is_none() {
                ended.push(upstream.clone());
            }
        }
        for upstream in &ended {
            self.open.remove(upstream);
        }
        Ok(ended)
    }

    async fn purchase(&self, change: SupplyChange) -> Result<(), PlatformError> {
        let key = PurchaseRequest::key(&self.data_centre, &Uuid::now_v7().to_string());
        self.client
            .create(&key, &PurchaseRequest { change })
            .await?;
        Ok(())
    }
}
