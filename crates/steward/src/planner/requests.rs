//! Writes planned changes as requests and detects when the requests are gone.

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
    /// Engines for which this planner has requested a change, until a check finds that
    /// the engine has no request. Includes engines whose request couldn't be written,
    /// and those that keep an existing request, for example of an operator.
    pending: BTreeSet<UpstreamName>,
}

impl RequestWriter {
    pub(crate) fn new(data_centre: DataCentreName, client: PlatformClient) -> Self {
        Self {
            data_centre,
            client,
            pending: BTreeSet::new(),
        }
    }

    /// Returns the engines whose planned change is pending: they had a request when
    /// last checked, or haven't been checked since the change was requested.
    pub(crate) fn pending(&self) -> &BTreeSet<UpstreamName> {
        &self.pending
    }

    /// Requests a change of an engine. An existing request for the engine, for
    /// example by an operator, is left unchanged.
    ///
    /// The change is pending until [`Self::take_missing`] finds no request, also if the
    /// write failed or there was a request before.
    pub(crate) async fn change_engine(&mut self, upstream: &UpstreamName, change: EngineChange) {
        let key = EngineRequest::key(&self.data_centre, upstream);
        let request = EngineRequest {
            id: Uuid::now_v7().to_string(),
            change,
            planned: true,
        };
        self.pending.insert(upstream.clone());
        // A conflict with an existing request of the engine is logged as well.
        if let Err(error) = self.client.create(&key, &request).await {
            tracing::debug!(%error, %upstream, "the request for a planned change wasn't created");
        }
    }

    /// Requests the purchase of upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if the request wasn't written, or may not have been.
    pub(crate) async fn request_purchase(
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
        self.write_purchase_request(SupplyChange::Add(request))
            .await
    }

    /// Requests the release of a purchased upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the request wasn't written, or may not have been.
    pub(crate) async fn request_release(&self, name: &UpstreamName) -> Result<(), PlatformError> {
        self.write_purchase_request(SupplyChange::Release(name.to_string()))
            .await
    }

    /// Checks the engines with a pending change, and removes and returns those without
    /// a request. The request was deleted, usually because its order ended with either
    /// result, or it was never created.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be read. All changes stay pending then.
    pub(crate) async fn take_missing(&mut self) -> Result<Vec<UpstreamName>, PlatformError> {
        let mut missing = Vec::new();
        for upstream in &self.pending {
            let key = EngineRequest::key(&self.data_centre, upstream);
            if self.client.get(&key).await?.is_none() {
                missing.push(upstream.clone());
            }
        }
        for upstream in &missing {
            self.pending.remove(upstream);
        }
        Ok(missing)
    }

    async fn write_purchase_request(&self, change: SupplyChange) -> Result<(), PlatformError> {
        let key = PurchaseRequest::key(&self.data_centre, &Uuid::now_v7().to_string());
        self.client
            .create(&key, &PurchaseRequest { change })
            .await?;
        Ok(())
    }
}
