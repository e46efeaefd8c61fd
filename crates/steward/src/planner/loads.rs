//! Polls the load of the data centre's engines.

use crate::fleet::FleetUpstreams;
use futures::future::join_all;
use lagoonlift_types::{UpstreamKind, UpstreamName};
use lagoonlift_upstreams::{ConnectionUse, EngineClient, EngineLoad};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a load report. A slower engine counts as unresponsive.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Clients of the data centre's engines.
#[derive(Default)]
pub(crate) struct LoadReader {
    clients: BTreeMap<UpstreamName, (SocketAddr, EngineClient)>,
}

impl LoadReader {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Queries all engines concurrently and returns the reports of those that
    /// responded in time.
    pub(crate) async fn read(
        &mut self,
        upstreams: &FleetUpstreams,
    ) -> Vec<(UpstreamName, EngineLoad)> {
        self.update(upstreams);
        let reports = self.clients.iter().map(|(name, (_, client))| async {
            let load = client.load(ConnectionUse::Pooled, REPORT_TIMEOUT).await;
            Some((name.clone(), load.ok()?))
        });
        join_all(reports).await.into_iter().flatten().collect()
    }

    fn update(&mut self, upstreams: &FleetUpstreams) {
        self.clients.retain(|name, (address, _)| {
            let status = upstreams.get(name);
            status.is_some_and(|status| status.upstream.address == *address)
        });
        for (name, status) in upstreams {
            let address = status.upstream.address;
            let is_engine = matches!(status.upstream.kind, UpstreamKind::Engine { .. });
            if !is_engine || self.clients.contains_key(name) {
                continue;
            }
            match EngineClient::new(address) {
                Ok(client) => {
                    self.clients.insert(name.clone(), (address, client));
                }
                Err(error) => tracing::error!(
                    upstream = %name,
                    %error,
                    "can't create an HTTP client for the engine; its load isn't polled"
                ),
            }
        }
    }
}
