//! Routes, services and workspaces of one configuration version.

use super::quota::{QuotaKey, WorkspaceQuota};
use std::collections::HashMap;
use std::time::Duration;

/// Version of a configuration; a higher version replaces a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

/// Index of a route in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteIndex(pub usize);

/// Index of a workspace in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkspaceIndex(pub usize);

/// Whether the requests of a route can be retried after they may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// The request may run more than once, up to [`Route::max_upstreams`] times.
    Idempotent,
    /// The request may run only once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether another upstream can resume the stream after the last event.
        resumable: bool,
    },
}

impl RetrySafety {
    /// Returns whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether another upstream can resume the stream.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service of a route and its share of the route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: String,
    /// Weight, relative to the other weights of the route.
    pub weight: f64,
}

/// The services and rules for requests with one host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// HTTP host name in the request.
    pub host_name: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether requests can be retried after they may have run.
    pub retry_safety: RetrySafety,
    /// Longest time that a caller waits for the response.
    pub timeout: Duration,
    /// Target latency; a response within this time is worth the most to the caller, and
    /// a later one is worth less.
    pub latency_goal: Duration,
    /// Urgency among routes: 0 is the most urgent, and higher numbers are less urgent.
    pub urgency: u32,
    /// Services among which requests are divided.
    pub services: Vec<ServiceWeight>,
    /// Maximum number of times that one request may run, if it can be retried after it
    /// may have run.
    pub max_upstreams: u32,
    /// Whether requests are admitted without an API key.
    pub is_public: bool,
    /// Whether requests carry prompts for model engines.
    pub has_prompt: bool,
    /// Longest time between two events of a stream.
    pub max_gap: Option<Duration>,
}

impl Route {
    /// Returns whether a request that may have run can be sent again.
    pub fn may_run_again(&self) -> bool {
        self.retry_safety.is_retryable() && self.max_upstreams > 1
    }

    /// Returns whether requests may go to `service`.
    pub fn may_use(&self, service: &str) -> bool {
        let mut used = self.used_services();
        used.any(|one| one.service == service)
    }

    /// Returns the service of a new request, in proportion to the weights. `draw` is a random
    /// number from 0 to 1. `None` if no service has a weight.
    pub fn draw_service(&self, draw: f64) -> Option<&str> {
        let total: f64 = self.used_services().map(|one| one.weight).sum();
        let mut left = draw * total;
        let drawn = self.used_services().find(|one| {
            left -= one.weight;
            left < 0.0
        });
        // Rounding can leave `left` at zero or above after the last service.
        let drawn = drawn.or_else(|| self.used_services().last());
        drawn.map(|one| one.service.as_str())
    }

    /// Returns the services that get requests.
    pub(super) fn used_services(&self) -> impl Iterator<Item = &ServiceWeight> {
        self.services.iter().filter(|one| one.weight > 0.0)
    }
}

/// Properties of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_cache_tokens: u64,
    /// Time for which an engine keeps the KV cache of a prompt after its prefill.
    pub kv_handle_ttl: Duration,
    /// Time for which an engine is unavailable during a role change.
    pub role_change_time: Duration,
}

/// Bounds and prices for ordering upstreams of a service. Names with `spot` refer to
/// reclaimable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSpec {
    /// Minimum number of upstreams in a data centre.
    pub min: u32,
    /// Maximum number of upstreams in a data centre.
    pub max: u32,
    /// Time from the order of an upstream until it serves requests.
    pub boot_time: Duration,
    /// Price of a reclaimable upstream as a fraction of the price of a standard
    /// one; `None` if the service has no reclaimable upstreams.
    pub spot_price: Option<f64>,
    /// Price of an upstream per second, by data centre. All prices are in one
    /// currency, which is not stated.
    pub prices_per_second: HashMap<String, f64>,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Connections that one upstream accepts in total.
    pub max_connections: u32,
    /// Properties of the upstreams if they are model engines.
    pub engine: Option<EngineSpec>,
    /// Bounds and prices if upstreams can be ordered.
    pub scaling: Option<ScalingSpec>,
}

/// Limits on what a client may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head.
    pub head_timeout: Duration,
    /// Timeout for an idle keep-alive connection.
    pub idle_timeout: Duration,
}

/// A team whose requests are counted separately.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace in usage reports and in requests to upstreams.
    pub name: String,
    /// API keys of the workspace.
    pub api_keys: Vec<String>,
    /// Urgency that replaces the route's.
    pub urgency: Option<u32>,
    /// Quota of its requests over all hosts; `None` is no limit.
    pub quota: Option<WorkspaceQuota>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingConfig {
    version: ConfigVersion,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: ClientLimits,
    workspaces: Vec<Workspace>,
    /// Routes by HTTP host name, longest prefix first.
    routes_by_host_name: HashMap<String, Vec<RouteIndex>>,
    workspace_by_api_key: HashMap<String, WorkspaceIndex>,
}

impl ServingConfig {
    /// Creates a configuration and its lookup tables.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: ClientLimits,
        workspaces: Vec<Workspace>,
    ) -> Self {
        let routes_by_host_name = index_routes(&routes);
        let workspace_by_api_key = index_api_keys(&workspaces);
        Self {
            version,
            routes,
            services,
            limits,
            workspaces,
            routes_by_host_name,
            workspace_by_api_key,
        }
    }

    /// Returns the configuration version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits for clients.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns all services.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns whether any workspace is configured; if none is, requests need no
    /// API keys.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the quotas of the workspaces that have one.
    pub fn quotas(&self) -> impl Iterator<Item = (QuotaKey, WorkspaceQuota)> {
        let workspaces = self.workspaces.iter();
        workspaces.filter_map(|one| Some((QuotaKey::new(&one.name), one.quota?)))
    }

    /// Returns the service named `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the route with the HTTP host name `host_name` and the longest prefix that
    /// matches `path`.
    pub fn find_route(&self, host_name: &str, path: &str) -> Option<&Route> {
        let candidates = self.routes_by_host_name.get(host_name)?;
        candidates
            .iter()
            .map(|index| &self.routes[index.0])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the workspace to which `api_key` belongs.
    pub fn find_workspace(&self, api_key: &str) -> Option<&Workspace> {
        let index = self.workspace_by_api_key.get(api_key)?;
        Some(&self.workspaces[index.0])
    }
}

fn index_routes(routes: &[Route]) -> HashMap<String, Vec<RouteIndex>> {
    let mut routes_by_host_name: HashMap<String, Vec<RouteIndex>> = HashMap::new();
    for (position, route) in routes.iter().enumerate() {
        let indexes = routes_by_host_name
            .entry(route.host_name.clone())
            .or_default();
        indexes.push(RouteIndex(position));
    }
    for indexes in routes_by_host_name.values_mut() {
        indexes.sort_by_key(|index| std::cmp::Reverse(routes[index.0].prefix.len()));
    }
    routes_by_host_name
}

fn index_api_keys(workspaces: &[Workspace]) -> HashMap<String, WorkspaceIndex> {
    let mut workspace_by_api_key = HashMap::new();
    for (position, workspace) in workspaces.iter().enumerate() {
        for api_key in &workspace.api_keys {
            workspace_by_api_key.insert(api_key.clone(), WorkspaceIndex(position));
        }
    }
    workspace_by_api_key
}
