//! Small configurations for tests, the demo and measurements.
//!
//! Operators create configurations with a questionnaire. Tests and benchmarks of
//! other features need one in a few lines of code.

use lagoonlift_types::{
    Class, ClassName, Configuration, DataCentreCapacity, DataCentreName, FencingSupport, KeyDigest,
    Limits, Manifest, ModelName, PlainRoute, Revision, RouteAccess, RouteName, Supply, Upstream,
    UpstreamKind, UpstreamName, UpstreamRole, Urgency, Workspace, WorkspaceName,
};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Deadline of the class `default`.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Deadline of the class `triage`.
const URGENT_DEADLINE: Duration = Duration::from_secs(10);
/// Deadline of the class `summary`.
const BACKGROUND_DEADLINE: Duration = Duration::from_secs(120);
/// Limits high enough that requests aren't throttled unless a test lowers them.
const UNTHROTTLED_LIMITS: Limits = Limits {
    requests_per_second: 100_000.0,
    tokens_per_second: 100_000_000.0,
    burst_seconds: 2.0,
};

/// A builder for a sample configuration.
///
/// Its methods panic on invalid names, because callers pass literals.
#[derive(Clone, Debug)]
pub struct SampleConfiguration {
    revision: Revision,
    workspaces: BTreeMap<WorkspaceName, Workspace>,
    data_centres: BTreeMap<DataCentreName, DataCentreCapacity>,
}

impl SampleConfiguration {
    /// Creates an empty configuration at revision 1.
    #[expect(clippy::new_without_default, reason = "a default has revision 0")]
    pub fn new() -> Self {
        Self {
            revision: Revision(1),
            workspaces: BTreeMap::new(),
            data_centres: BTreeMap::new(),
        }
    }

    /// Sets the configuration's revision, which starts at 1.
    #[must_use]
    pub fn with_revision(mut self, revision: u64) -> Self {
        self.revision = Revision(revision);
        self
    }

    /// Adds a workspace with one key, one model and the classes `default`,
    /// `triage` (urgent), `summary` (background) and `booking` (non-idempotent).
    #[must_use]
    pub fn with_workspace(mut self, name: &str, key: &str, model: &str) -> Self {
        let class = |urgency, idempotent, deadline| Class {
            urgency,
            idempotent,
            deadline,
        };
        let classes = [
            ("default", class(Urgency::Normal, true, DEFAULT_DEADLINE)),
            ("triage", class(Urgency::Urgent, true, URGENT_DEADLINE)),
            (
                "summary",
                class(Urgency::Background, true, BACKGROUND_DEADLINE),
            ),
            ("booking", class(Urgency::Normal, false, DEFAULT_DEADLINE)),
        ];
        let workspace = Workspace {
            keys: BTreeSet::from([KeyDigest::of(key)]),
            models: BTreeSet::from([parse_name::<ModelName>(model)]),
            classes: classes
                .into_iter()
                .map(|(name, class)| (parse_name::<ClassName>(name), class))
                .collect(),
            routes: BTreeMap::new(),
            limits: UNTHROTTLED_LIMITS,
            weight: 1,
        };
        self.workspaces.insert(parse_name(name), workspace);
        self
    }

    /// Sets the limits of a workspace added before.
    #[must_use]
    pub fn with_limits(mut self, workspace: &str, limits: Limits) -> Self {
        self.workspace(workspace).limits = limits;
        self
    }

    /// Adds a route from a workspace to a plain service. Its path is `/` and the
    /// route's name, its methods are GET and POST, and its class is `booking`.
    #[must_use]
    pub fn with_route(
        mut self,
        workspace: &str,
        route: &str,
        service: &str,
        access: RouteAccess,
    ) -> Self {
        let plain = PlainRoute {
            upstream: parse_name(service),
            path: format!("/{route}"),
            methods: BTreeSet::from(["GET".to_owned(), "POST".to_owned()]),
            access,
            class: parse_name("booking"),
        };
        let routes = &mut self.workspace(workspace).routes;
        routes.insert(parse_name::<RouteName>(route), plain);
        self
    }

    /// Adds an engine in the mixed role that checks fencing tokens.
    #[must_use]
    pub fn with_engine(
        self,
        data_centre: &str,
        name: &str,
        address: SocketAddr,
        model: &str,
    ) -> Self {
        let kind = UpstreamKind::Engine {
            models: BTreeSet::from([parse_name::<ModelName>(model)]),
            role: UpstreamRole::Mixed,
            fencing: FencingSupport::Checked,
        };
        self.with_upstream(data_centre, name, address, kind)
    }

    /// Adds a plain service.
    #[must_use]
    pub fn with_service(self, data_centre: &str, name: &str, address: SocketAddr) -> Self {
        self.with_upstream(data_centre, name, address, UpstreamKind::Service)
    }

    /// Adds a reserved upstream.
    #[must_use]
    pub fn with_upstream(
        mut self,
        data_centre: &str,
        name: &str,
        address: SocketAddr,
        kind: UpstreamKind,
    ) -> Self {
        let capacity = self
            .data_centres
            .entry(parse_name(data_centre))
            .or_default();
        let upstream = Upstream {
            address,
            kind,
            supply: Supply::Reserved,
        };
        let name = parse_name::<UpstreamName>(name);
        capacity.upstreams.insert(name, upstream);
        self
    }

    /// Builds the configuration.
    pub fn build(&self) -> Configuration {
        let shared = |(name, workspace): (&WorkspaceName, &Workspace)| {
            (name.clone(), Arc::new(workspace.clone()))
        };
        let capacity = |(name, capacity): (&DataCentreName, &DataCentreCapacity)| {
            (name.clone(), Arc::new(capacity.clone()))
        };
        Configuration {
            revision: self.revision,
            workspaces: self.workspaces.iter().map(shared).collect(),
            data_centres: self.data_centres.iter().map(capacity).collect(),
        }
    }

    /// Returns the configuration as keys and values of platform objects: first the
    /// chunks, then the manifest.
    pub fn objects(&self) -> Vec<(String, Value)> {
        let (manifest, chunks) =
            Manifest::split(&self.build()).expect("the configuration can be serialized");
        let chunk = |(digest, text): (_, Vec<u8>)| {
            let value = serde_json::from_slice(&text).expect("a chunk is valid JSON");
            (Manifest::chunk_key(digest), value)
        };
        let mut objects: Vec<_> = chunks.into_iter().map(chunk).collect();
        let manifest =
            serde_json::to_value(&manifest).expect("the configuration can be serialized");
        objects.push((Manifest::KEY.to_owned(), manifest));
        objects
    }

    fn workspace(&mut self, name: &str) -> &mut Workspace {
        let workspace = self.workspaces.get_mut(&parse_name::<WorkspaceName>(name));
        workspace.expect("the workspace has been added")
    }
}

fn parse_name<T>(name: &str) -> T
where
    T: std::str::FromStr<Err = lagoonlift_types::IdentifierError>,
{
    name.parse().expect("a valid name")
}
