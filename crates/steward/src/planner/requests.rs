//! Writes planned changes as requests and detects when they have been completed.

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
    /// Engines with a request of this planner that existed when last checked.
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

    /// Returns the engines whose planned change hasn't completed.
    pub(crate) fn open(&self) -> &BTreeSet<UpstreamName> {
        &self.open
    }

    /// Requests a change of an engine. An existing request for the engine, for
    /// example by an operator, is left unchanged.
    ///
    /// A failed write counts as written until [`Self::take_ended`] finds no request.
    pub(crate) async fn change_engine(&mut self, upstream: &UpstreamName, change: EngineChange) {
        let key = EngineRequest::key(&self.data_centre, upstream);
        let request = EngineRequest {
            id: Uuid::now_v7().to_string(),
            change,
            planned: true,
        };
        self.open.insert(upstream.clone());
        if let Err(error) = self.client.create(&key, &request).await {
            tracing::debug!(%error, %upstream, "failed to write the request for a planned change");
        }
    }

    /// Requests more upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if the request wasn't written, or may not have been.
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

    /// Requests the release of an ordered upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the request wasn't written, or may not have been.
    pub(crate) async fn release_upstream(&self, name: &UpstreamName) -> Result<(), PlatformError> {
        self.purchase(SupplyChange::Release(name.to_string())).await
    }

    /// Checks the open requests and returns the engines whose request is gone, which
    /// means that their change has completed.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be read. No change counts as completed
    /// then.
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
