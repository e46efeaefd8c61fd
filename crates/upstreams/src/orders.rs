//! Orders to an engine: change of role, loading of models, adapters, versions.
//!
//! An order has an identifier, so that sending it again is harmless, and a
//! fencing number, by which some engines refuse what an earlier steward sends.
//! What a failed call says about its effect decides what the steward may do
//! next, so [`OrderError`] tells a refusal from a lost answer.

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

/// What an order changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineChange {
    /// Take another role.
    ChangeRole(UpstreamRole),
    /// Load a model.
    LoadModel(ModelName),
    /// Load an adapter.
    LoadAdapter(String),
    /// Load another version of the present model.
    LoadVersion(String),
}

impl EngineChange {
    /// Returns whether the change would cut streams that are running.
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
    /// Chosen by the sender; a repeat with the same identifier is the same order.
    pub id: String,
    /// Epoch of the sender's lease.
    pub fencing: Epoch,
    /// What to change.
    pub change: EngineChange,
}

/// How far an engine is with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderProgress {
    /// Being carried out.
    Running,
    /// Carried out.
    Done,
    /// Given up.
    Failed,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The role it has now.
    pub role: UpstreamRole,
    /// Models that are loaded.
    pub models: BTreeSet<ModelName>,
    /// Adapters that are loaded.
    pub adapters: BTreeSet<String>,
    /// Highest fencing number that it has seen.
    pub epoch: Epoch,
    /// The order being carried out.
    pub open_order: Option<String>,
}

/// Why an order wasn't accepted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OrderError {
    /// The engine has seen a higher fencing number; the order had no effect.
    #[error("the fencing number is out of date")]
    StaleFencing,
    /// The engine carries another order out; this one had no effect.
    #[error("another order is being carried out")]
    AnotherOpen,
    /// The engine refused the order for another reason; it had no effect.
    #[error("the engine refused the order with status {0}")]
    Refused(StatusCode),
    /// No byte of the order reached a socket.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The order may have been accepted, or may still be.
    #[error("the answer was lost: {0}")]
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
    /// Sends an order.
    ///
    /// # Errors
    ///
    /// The error says whether the order may have been accepted.
    pub async fn send_order(&self, order: &EngineOrder, limit: Duration) -> Result<(), OrderError> {
        let connections = self.connections();
        let client = connections.client(ConnectionUse::Fresh);
        let request = client.post(connections.url("/orders")).json(order);
        match timeout(limit, request.send()).await {
            Ok(Ok(response)) => read_answer(response, limit).await,
            Ok(Err(error)) => Err(order_error(error.into())),
            Err(_) => Err(OrderError::OutcomeUnknown(format!(
                "no answer within {limit:?}"
            ))),
        }
    }

    /// Asks how far an order is; `None` when the engine doesn't know it.
    ///
    /// # Errors
    ///
    /// Fails when the engine doesn't answer within `limit`.
    pub async fn order_progress(
        &self,
        id: &str,
        limit: Duration,
    ) -> Result<Option<OrderProgress>, SendError> {
        let connections = self.connections();
        let client = connections.client(ConnectionUse::Fresh);
        let request = client.get(connections.url(&format!("/orders/{id}")));
        let answer = async {
            let response = request.send().await?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            let body: ProgressBody = response.error_for_status()?.json().await?;
            Ok(Some(body.state))
        };
        let answer = timeout(limit, answer).await;
        answer.map_err(|_| SendError::Timeout(limit))?
    }

    /// Asks the engine for its role, models and open order.
    ///
    /// # Errors
    ///
    /// Fails when the engine doesn't answer within `limit`.
    pub async fn status(&self, limit: Duration) -> Result<EngineStatus, SendError> {
        let client = self.connections().client(ConnectionUse::Fresh);
        self.get(&client, "/state", limit).await
    }
}

async fn read_answer(response: Response, limit: Duration) -> Result<(), OrderError> {
    let status = response.status();
    match status {
        _ if status.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(read_refusal(response, limit).await),
        _ if status.is_client_error() => Err(OrderError::Refused(status)),
        _ => Err(OrderError::OutcomeUnknown(format!("status {status}"))),
    }
}

async fn read_refusal(response: Response, limit: Duration) -> OrderError {
    let status = response.status();
    let body = timeout(limit, response.json::<RefusalBody>()).await;
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
