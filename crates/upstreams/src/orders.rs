//! Orders to an engine: to change its role, or to load a model, an adapter or
//! another model version.
//!
//! An order has an identifier, which makes sending it again idempotent, and a
//! fencing token, by which some engines refuse orders of an earlier steward.
//! What the steward may do next depends on whether a failed call had an effect,
//! so [`OrderError`] distinguishes a refusal from a lost response.

use crate::body::read_json;
use crate::connection::ConnectionUse;
use crate::engine::EngineClient;
use crate::error::SendError;
use http::StatusCode;
use lagoonlift_types::{Epoch, ModelName, UpstreamRole};
use reqwest::Response;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// The change that an order makes to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineChange {
    /// Switch the engine to another role.
    ChangeRole(UpstreamRole),
    /// Load the model with this name.
    LoadModel(ModelName),
    /// Load the adapter with this name.
    LoadAdapter(String),
    /// Load another version of the model that is loaded now.
    LoadVersion(String),
}

impl EngineChange {
    /// Returns whether the change interrupts the streams that are in flight.
    pub fn interrupts_streams(&self) -> bool {
        match self {
            Self::ChangeRole(_) | Self::LoadModel(_) | Self::LoadVersion(_) => true,
            Self::LoadAdapter(_) => false,
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Identifier chosen by the sender. Sending the same identifier again
    /// repeats the same order and doesn't create another one.
    pub id: String,
    /// Fencing token: the epoch of the sender's lease.
    pub fencing: Epoch,
    /// The change to make.
    pub change: EngineChange,
}

/// The state of an order at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderProgress {
    /// The order is in progress.
    Running,
    /// The order succeeded.
    Done,
    /// The order failed.
    Failed,
}

/// The role, models and orders that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Current role of the engine.
    pub role: UpstreamRole,
    /// Models that the engine has loaded.
    pub models: BTreeSet<ModelName>,
    /// Adapters that the engine has loaded.
    pub adapters: BTreeSet<String>,
    /// Highest fencing token that the engine has received.
    pub epoch: Epoch,
    /// Identifier of the order in progress.
    pub open_order: Option<String>,
}

/// A failure to send an order or to get it accepted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OrderError {
    /// The engine has received a higher fencing token; the order had no effect.
    #[error("the fencing token is stale")]
    StaleFencing,
    /// Another order is in progress at the engine; this one had no effect.
    #[error("another order is in progress")]
    AnotherOpen,
    /// The engine refused the order for another reason; it had no effect.
    #[error("the engine refused the order with status {0}")]
    Refused(StatusCode),
    /// No byte of the order was written to a socket, so it had no effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No usable response arrived. The engine may have accepted the order, or
    /// may still accept it.
    #[error("the outcome of the order is unknown: {0}")]
    OutcomeUnknown(String),
}

#[derive(Deserialize)]
struct RefusalBody {
    result: String,
}

#[derive(Deserialize)]
struct ProgressBody {
    state: OrderProgress,
}

impl EngineClient {
    /// Sends an order and waits up to `max_wait` for the engine to accept it.
    ///
    /// # Errors
    ///
    /// Returns an [`OrderError`], which says whether the engine may have accepted
    /// the order.
    pub async fn send_order(
        &self,
        order: &EngineOrder,
        max_wait: Duration,
    ) -> Result<(), OrderError> {
        let connections = self.connections();
        let client = connections.client(ConnectionUse::Fresh);
        let request = client.post(connections.url("/orders")).json(order);
        match timeout(max_wait, request.send()).await {
            Ok(Ok(response)) => read_response(response, max_wait).await,
            Ok(Err(error)) => Err(order_error(error.into())),
            Err(_) => Err(OrderError::OutcomeUnknown(format!(
                "no answer within {max_wait:?}"
            ))),
        }
    }

    /// Fetches the state of an order. Returns `None` if the engine doesn't know
    /// the order.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine doesn't respond with a state within
    /// `max_wait`.
    pub async fn order_progress(
        &self,
        id: &str,
        max_wait: Duration,
    ) -> Result<Option<OrderProgress>, SendError> {
        let connections = self.connections();
        let client = connections.client(ConnectionUse::Fresh);
        let request = client.get(connections.url(&format!("/orders/{id}")));
        let progress = async {
            let response = request.send().await?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            let body: ProgressBody = read_json(response.error_for_status()?).await?;
            Ok(Some(body.state))
        };
        let progress = timeout(max_wait, progress).await;
        progress.map_err(|_| SendError::Timeout(max_wait))?
    }

    /// Fetches the engine's role, models and order in progress.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine doesn't respond with its status within
    /// `max_wait`.
    pub async fn status(&self, max_wait: Duration) -> Result<EngineStatus, SendError> {
        let client = self.connections().client(ConnectionUse::Fresh);
        self.get(&client, "/state", max_wait).await
    }
}

async fn read_response(response: Response, max_wait: Duration) -> Result<(), OrderError> {
    let status = response.status();
    match status {
        _ if status.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(read_refusal(response, max_wait).await),
        _ if status.is_client_error() => Err(OrderError::Refused(status)),
        _ => Err(OrderError::OutcomeUnknown(format!("status {status}"))),
    }
}

async fn read_refusal(response: Response, max_wait: Duration) -> OrderError {
    let status = response.status();
    let body = timeout(max_wait, read_json::<RefusalBody>(response)).await;
    match body {
        Ok(Ok(body)) if body.result == "stale-fencing" => OrderError::StaleFencing,
        Ok(Ok(body)) if body.result == "another-open" => OrderError::AnotherOpen,
        _ => OrderError::Refused(status),
    }
}

fn order_error(error: SendError) -> OrderError {
    match error {
        SendError::NotSent(detail) => OrderError::NotSent(detail),
        other => OrderError::OutcomeUnknown(other.to_string()),
    }
}
