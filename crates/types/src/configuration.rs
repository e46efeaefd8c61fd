//! The configuration that operators accept and every host obeys.
//!
//! A configuration is a value: one revision of it is never edited. The platform
//! keeps it as one immutable chunk for each workspace and each data centre's
//! upstreams, with a manifest that lists them; the hosts' protocol carries the
//! same chunks between hosts.

use crate::{
    ClassName, DataCentreName, KeyDigest, ModelName, Revision, RouteName, UpstreamName,
    WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Everything that is in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The revision at which this was accepted.
    pub revision: Revision,
    /// All workspaces, by name.
    pub workspaces: BTreeMap<WorkspaceName, Arc<Workspace>>,
    /// Upstreams and spending of each data centre, by its name.
    pub data_centres: BTreeMap<DataCentreName, Arc<DataCentreCapacity>>,
}

/// One workspace: who may call, what it may use, how urgent its classes are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Digests of the keys that are valid now.
    pub keys: BTreeSet<KeyDigest>,
    /// Models that the workspace may use.
    pub models: BTreeSet<ModelName>,
    /// Its request classes, by name. The class `default` always exists.
    pub classes: BTreeMap<ClassName, Class>,
    /// Declared routes to plain services, by name.
    pub routes: BTreeMap<RouteName, PlainRoute>,
    /// What the workspace may use at most.
    pub limits: Limits,
    /// Share in fair queueing, relative to other workspaces. At least 1.
    pub weight: u32,
}

/// How requests of one class are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// How soon an answer is needed.
    pub urgency: Urgency,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time from arrival to the last token.
    pub deadline: Duration,
}

/// How soon an answer is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Someone is waiting on the line.
    Urgent,
    /// Someone waits, but not on the line.
    Normal,
    /// Has slack; may wait behind the others, never for ever.
    Background,
}

/// What a workspace may use, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests a second, sustained.
    pub requests_per_second: f64,
    /// Prompt and output tokens a second, sustained.
    pub tokens_per_second: f64,
    /// Seconds' worth of the sustained rates that may be used at once.
    pub burst_seconds: f64,
}

/// A declared route to a plain service, served under `/v1/services/WORKSPACE/NAME/`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlainRoute {
    /// The plain service that answers.
    pub upstream: UpstreamName,
    /// Path at the service under which the rest of the caller's path is put.
    pub path: String,
    /// Methods that callers may use, in upper case.
    pub methods: BTreeSet<String>,
    /// Who may call it.
    pub access: RouteAccess,
    /// The class whose urgency, deadline and idempotency apply.
    pub class: ClassName,
}

/// Who may call a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteAccess {
    /// Only callers with one of the workspace's keys.
    Keyed,
    /// Anyone, without a key.
    Open,
}

/// Upstreams and spending of one data centre.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DataCentreCapacity {
    /// Upstreams known by configuration, by name.
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Most upstreams that may be ordered beyond those configured.
    pub order_limit: u32,
}

/// One model engine or plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it is.
    pub kind: UpstreamKind,
    /// How it was bought.
    pub supply: Supply,
}

/// What an upstream is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine {
        /// Models that it serves or can load.
        models: BTreeSet<ModelName>,
        /// The role it starts with.
        role: UpstreamRole,
        /// Whether it refuses orders with an old fencing number.
        #[serde(default)]
        fencing: FencingSupport,
    },
    /// A plain service.
    Service,
}

/// Which part of the work an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamRole {
    /// Reads prompts and hands the KV cache on.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Does both.
    Mixed,
}

/// Whether an engine refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingSupport {
    /// It refuses them.
    Checked,
    /// It ignores the number; also what is assumed when nothing is declared.
    #[default]
    Ignored,
}

/// How an upstream was bought.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Supply {
    /// Kept until it is given back.
    Reserved,
    /// Cheap; may be reclaimed at any moment, a whole data centre at a time.
    Reclaimable,
}
