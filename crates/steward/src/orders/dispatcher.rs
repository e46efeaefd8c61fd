//! Starts a runner for each engine and forwards requested changes to it.
//!
//! Operators and the planner request a change by writing an object. The lease
//! holder turns it into an order with the same identifier and deletes the object
//! once the order has ended. If the deletion fails, the identifier prevents
//! a second execution of the order.

use super::runner::{EngineRunner, RequestedChange, RunnerContext};
use super::{OrderConfig, OrderRecord};
use crate::fleet::FleetUpstreams;
use lagoonlift_platform::{PlatformError, Version};
use lagoonlift_types::{
    DataCentreName, Epoch, Upstream, UpstreamKind, UpstreamName, UpstreamStatus,
};
use lagoonlift_upstreams::{EngineChange, EngineClient};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Requested changes that may be queued for one runner.
const REQUEST_BUFFER: usize = 4;
/// Time after which the platform ends a watch that saw no change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before the next attempt after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A request to change an engine, stored as JSON by an operator or the planner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRequest {
    /// Unique identifier, which the order takes over.
    pub id: String,
    /// The requested change.
    pub change: EngineChange,
    /// Whether the request comes from the planner.
    #[serde(default)]
    pub planned: bool,
}

impl EngineRequest {
    /// Returns the object key of the request for one engine.
    pub fn key(data_centre: &DataCentreName, upstream: &UpstreamName) -> String {
        format!("{}{upstream}", Self::prefix(data_centre))
    }

    fn prefix(data_centre: &DataCentreName) -> String {
        format!("engine-requests/{data_centre}/")
    }
}

/// An engine with a running [`EngineRunner`].
struct RunningEngine {
    upstream: Upstream,
    requested: mpsc::Sender<RequestedChange>,
    task: AbortHandle,
}

impl Drop for RunningEngine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Owns the runners of all engines of the data centre.
pub(crate) struct OrderDispatcher {
    context: RunnerContext,
    upstreams: watch::Receiver<Arc<FleetUpstreams>>,
    ended: mpsc::Receiver<(UpstreamName, OrderRecord)>,
    engines: BTreeMap<UpstreamName, RunningEngine>,
    requests: BTreeMap<UpstreamName, (EngineRequest, Version)>,
}

impl OrderDispatcher {
    pub(crate) fn new(
        context: RunnerContext,
        upstreams: watch::Receiver<Arc<FleetUpstreams>>,
        ended: mpsc::Receiver<(UpstreamName, OrderRecord)>,
    ) -> Self {
        Self {
            context,
            upstreams,
            ended,
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
        }
    }

    /// Runs until dropped.
    pub(crate) async fn run(mut self) {
        let mut authority = self.context.authority.clone();
        loop {
            self.update_engines();
            let epoch = tokio::select! {
                epoch = authority.wait_for_grant() => epoch,
                changed = self.upstreams.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return,
                },
            };
            while self.context.authority.holds(epoch) {
                if self.serve(epoch).await.is_err() {
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Handles requests, upstream changes and ended orders until the lease ends, a
    /// call fails or the watch for requests returns.
    async fn serve(&mut self, epoch: Epoch) -> Result<(), PlatformError> {
        let client = self.context.client.clone();
        let prefix = EngineRequest::prefix(&self.context.data_centre);
        let list = client.list(&prefix).await?;
        self.requests.clear();
        for object in &list.objects {
            let name = object.key.strip_prefix(&prefix).map(UpstreamName::new);
            match (name, object.parse()) {
                (Some(Ok(name)), Ok(request)) => {
                    self.requests.insert(name, (request, object.version));
                }
                _ => tracing::warn!(
                    key = object.key,
                    "ignored a malformed request to change an engine"
                ),
            }
        }
        self.pass_requests_on();
        let watch = client.watch(&prefix, list.version, WATCH_TIMEOUT);
        tokio::pin!(watch);
        let mut authority = self.context.authority.clone();
        loop {
            tokio::select! {
                changes = &mut watch => return changes.map(|_| ()),
                () = authority.wait_for_end(epoch) => return Ok(()),
                Ok(()) = self.upstreams.changed() => {
                    self.update_engines();
                    self.pass_requests_on();
                }
                Some((upstream, record)) = self.ended.recv() => {
                    self.delete_request(&upstream, &record).await?;
                }
            }
        }
    }

    /// Starts runners for new engines and stops those of removed ones.
    fn update_engines(&mut self) {
        let upstreams = Arc::clone(&self.upstreams.borrow_and_update());
        self.engines.retain(|name, running| {
            let status = upstreams.get(name);
            status.is_some_and(|status| is_same_engine(&running.upstream, &status.upstream))
        });
        for (name, status) in upstreams.iter() {
            if !self.engines.contains_key(name) {
                self.start_engine(name, status);
            }
        }
    }

    fn start_engine(&mut self, name: &UpstreamName, status: &UpstreamStatus) {
        let UpstreamKind::Engine { fencing, .. } = status.upstream.kind else {
            return;
        };
        let engine = match EngineClient::new(status.upstream.address) {
            Ok(engine) => engine,
            Err(error) => {
                tracing::error!(
                    %error,
                    upstream = %name,
                    "can't create an HTTP client for the engine; it gets no orders"
                );
                return;
            }
        };
        let (sender, requested) = mpsc::channel(REQUEST_BUFFER);
        let config = OrderConfig { fencing };
        let runner = EngineRunner::new(
            self.context.clone(),
            name.clone(),
            engine,
            config,
            requested,
        );
        let running = RunningEngine {
            upstream: status.upstream.clone(),
            requested: sender,
            task: tokio::spawn(runner.run()).abort_handle(),
        };
        self.engines.insert(name.clone(), running);
    }

    fn pass_requests_on(&self) {
        for (name, (request, _)) in &self.requests {
            let Some(running) = self.engines.get(name) else {
                continue;
            };
            let requested = RequestedChange {
                id: request.id.clone(),
                change: request.change.clone(),
                is_planned: request.planned,
            };
            // If the queue is full, the request is forwarded again after the next
            // read of the requests.
            let _ = running.requested.try_send(requested);
        }
    }

    async fn delete_request(
        &mut self,
        upstream: &UpstreamName,
        record: &OrderRecord,
    ) -> Result<(), PlatformError> {
        let found = self.requests.get(upstream);
        let Some((_, version)) = found.filter(|(request, _)| request.id == record.id) else {
            return Ok(());
        };
        let key = EngineRequest::key(&self.context.data_centre, upstream);
        match self.context.client.delete(&key, *version).await {
            Ok(()) | Err(PlatformError::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
        self.requests.remove(upstream);
        Ok(())
    }
}

/// Returns whether a running engine's runner is still valid. A change of the role
/// doesn't affect it.
fn is_same_engine(running: &Upstream, latest: &Upstream) -> bool {
    let fencing = |upstream: &Upstream| match upstream.kind {
        UpstreamKind::Engine { fencing, .. } => Some(fencing),
        UpstreamKind::Service => None,
    };
    running.address == latest.address && fencing(running) == fencing(latest)
}
