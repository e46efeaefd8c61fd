//! Routes, services and workspaces, as one version of the configuration has
//! them.

use std::collections::HashMap;
use std::time::Duration;

/// Version of a configuration; a higher one replaces a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

/// Position of a route in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(pub usize);

/// Position of a workspace in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkspaceIndex(pub usize);

/// What may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// May run any number of times.
    Idempotent,
    /// May run once.
    NonIdempotent,
    /// Answered by a stream of events.
    Stream {
        /// Whether another upstream can go on after the last event.
        resumable: bool,
    },
}

impl RetrySafety {
    /// Returns whether a request that may have run can be sent again whole.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWeight {
    /// The service.
    pub service: String,
    /// Its part, relative to the other weights of the route.
    pub weight: f64,
}

/// Where requests of one path prefix go and what holds for them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host name that the caller used.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_goal: Duration,
    /// Rank among routes; 0 is the most urgent.
    pub urgency: u32,
    /// Services that requests are divided among.
    pub services: Vec<ServiceWeight>,
    /// Upstreams on which one request may run.
    pub max_upstreams: u32,
    /// Whether a request needs no key.
    pub is_public: bool,
    /// Whether requests carry prompts for model engines.
    pub has_prompt: bool,
    /// Longest pause between two events of a stream.
    pub max_gap: Option<Duration>,
}

/// What is known about the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub kv_cache_tokens: u64,
    /// How long a prompt that was read ahead is kept.
    pub kv_handle_ttl: Duration,
    /// How long a role change takes an engine away.
    pub role_change_time: Duration,
}

/// How many upstreams of a service may be ordered, and what they cost.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSpec {
    /// Fewest upstreams in a data centre.
    pub min: u32,
    /// Most upstreams in a data centre.
    pub max: u32,
    /// Time from an order to service.
    pub boot_time: Duration,
    /// Price of a reclaimable upstream as a share of a standard one, if there are any.
    pub spot_price: Option<f64>,
    /// Price of a second by data centre.
    pub prices_per_second: HashMap<String, f64>,
}

/// A group of equal upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that one upstream accepts from all callers.
    pub max_connections: u32,
    /// Set where the upstreams are model engines.
    pub engine: Option<EngineSpec>,
    /// Set where upstreams can be ordered.
    pub scaling: Option<ScalingSpec>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a kept connection may be idle.
    pub idle_timeout: Duration,
}

/// A team whose requests are counted and kept apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name, as upstreams and usage reports have it.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Urgency that replaces the route's.
    pub urgency: Option<u32>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingConfig {
    version: ConfigVersion,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: ClientLimits,
    workspaces: Vec<Workspace>,
    /// Routes of each host name, longest prefix first.
    routes_by_host: HashMap<String, Vec<RouteKey>>,
    workspace_by_key: HashMap<String, WorkspaceIndex>,
}

impl ServingConfig {
    /// Creates a configuration and its look-up tables.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: ClientLimits,
        workspaces: Vec<Workspace>,
    ) -> Self {
        let routes_by_host = index_routes(&routes);
        let workspace_by_key = index_keys(&workspaces);
        Self {
            version,
            routes,
            services,
            limits,
            workspaces,
            routes_by_host,
            workspace_by_key,
        }
    }

    /// Returns the version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns what clients may send.
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

    /// Returns whether requests need keys at all.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let candidates = self.routes_by_host.get(host)?;
        candidates
            .iter()
            .map(|key| &self.routes[key.0])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the workspace that holds `key`.
    pub fn find_workspace(&self, key: &str) -> Option<&Workspace> {
        let index = self.workspace_by_key.get(key)?;
        Some(&self.workspaces[index.0])
    }
}

fn index_routes(routes: &[Route]) -> HashMap<String, Vec<RouteKey>> {
    let mut index: HashMap<String, Vec<RouteKey>> = HashMap::new();
    for (position, route) in routes.iter().enumerate() {
        let keys = index.entry(route.host.clone()).or_default();
        keys.push(RouteKey(position));
    }
    for keys in index.values_mut() {
        keys.sort_by_key(|key| std::cmp::Reverse(routes[key.0].prefix.len()));
    }
    index
}

fn index_keys(workspaces: &[Workspace]) -> HashMap<String, WorkspaceIndex> {
    let mut index = HashMap::new();
    for (position, workspace) in workspaces.iter().enumerate() {
        for key in &workspace.keys {
            index.insert(key.clone(), WorkspaceIndex(position));
        }
    }
    index
}
