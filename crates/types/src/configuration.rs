//! The configuration that operators submit and all hosts apply.
//!
//! Each revision of the configuration is immutable. The platform stores it as
//! one immutable chunk per workspace and one per data centre, with a manifest
//! that lists them. Hosts exchange the same chunks between each other.

use crate::{
    ClassName, DataCentreName, KeyDigest, ModelName, Revision, RouteName, UpstreamName,
    WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The complete configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Revision under which this configuration was accepted.
    pub revision: Revision,
    /// All workspaces, by name.
    pub workspaces: BTreeMap<WorkspaceName, Arc<Workspace>>,
    /// Upstreams and order limit of each data centre, by name.
    pub data_centres: BTreeMap<DataCentreName, Arc<DataCentreCapacity>>,
}

/// A workspace: its keys, permitted models, request classes, routes and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Digests of the valid keys of its callers.
    pub keys: BTreeSet<KeyDigest>,
    /// Models that its callers may use.
    pub models: BTreeSet<ModelName>,
    /// Its request classes, by name. The class `default` always exists.
    pub classes: BTreeMap<ClassName, Class>,
    /// Routes to plain services, by name.
    pub routes: BTreeMap<RouteName, PlainRoute>,
    /// Rate limits of the workspace.
    pub limits: Limits,
    /// Weight in fair queueing, relative to other workspaces. At least 1.
    pub weight: u32,
}

/// Urgency, idempotency and deadline of the requests of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// How soon a response is needed.
    pub urgency: Urgency,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Maximum time from a request's arrival to its last token.
    pub deadline: Duration,
}

/// How soon a response is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// A person waits for the response on the phone.
    Urgent,
    /// A person waits for the response, but not on the phone.
    Normal,
    /// The response has slack: the request may queue behind the other classes,
    /// but is never starved.
    Background,
}

/// Rate limits of a workspace, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Sustained requests per second.
    pub requests_per_second: f64,
    /// Sustained prompt and output tokens per second.
    pub tokens_per_second: f64,
    /// Burst size, in seconds of the sustained rates.
    pub burst_seconds: f64,
}

/// A route to a plain service, served under `/v1/services/WORKSPACE/NAME/`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlainRoute {
    /// The plain service that requests are forwarded to.
    pub upstream: UpstreamName,
    /// Path prefix at the service. The rest of the caller's path is appended to it.
    pub path: String,
    /// Permitted HTTP methods, in upper case.
    pub methods: BTreeSet<String>,
    /// Whether its callers need a key.
    pub access: RouteAccess,
    /// The class whose urgency, deadline and idempotency apply.
    pub class: ClassName,
}

/// Whether callers of a route need a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteAccess {
    /// Only callers with one of the workspace's keys.
    Keyed,
    /// Anyone, without a key.
    Open,
}

/// Configured upstreams of one data centre, and how many more may be ordered.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DataCentreCapacity {
    /// Configured upstreams, by name.
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Maximum number of upstreams ordered in addition to those configured.
    pub order_limit: u32,
}

/// A model engine or plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Whether it is an engine or a plain service, and the engine's properties.
    pub kind: UpstreamKind,
    /// Whether its capacity is reserved or reclaimable.
    pub supply: Supply,
}

/// The kind of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine {
        /// Models that it serves or can load.
        models: BTreeSet<ModelName>,
        /// Its role at its start.
        role: UpstreamRole,
        /// Whether it rejects orders with an outdated fencing token.
        #[serde(default)]
        fencing: FencingSupport,
    },
    /// A plain service.
    Service,
}

/// The phases of inference that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamRole {
    /// Processes prompts and exports the KV cache.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Runs both phases.
    Mixed,
}

/// Whether an engine rejects orders with an outdated fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingSupport {
    /// The engine rejects them.
    Checked,
    /// The engine ignores the token. This is the default when nothing is declared.
    #[default]
    Ignored,
}

/// Purchase model of an upstream's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Supply {
    /// Available until it is released.
    Reserved,
    /// Cheaper capacity that the provider may reclaim at any moment, for a whole
    /// data centre at once.
    Reclaimable,
}
