//! Describes a chunk of the configuration as named values, and compares two chunks.
//!
//! Operators review a proposal before they accept it, and review each other's
//! changes after a conflict. JSON is hard to review, so a difference lists single
//! values under the names that operators know from the questionnaire.

use lagoonlift_types::{
    Chunk, Class, DataCentreCapacity, FencingSupport, KeyDigest, PlainRoute, RouteAccess, Supply,
    Upstream, UpstreamKind, UpstreamRole, Urgency, Workspace,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display};

/// Length of a key identifier, in hexadecimal digits of the key's digest.
const KEY_ID_DIGITS: usize = 12;

/// Returns the identifier of a key for operators: the first 12 hexadecimal digits
/// of its digest.
pub fn key_id(digest: KeyDigest) -> String {
    let mut digits = String::from(digest);
    digits.truncate(KEY_ID_DIGITS);
    digits
}

/// A value that differs between two states of a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueChange {
    /// Name of the value, such as `class triage deadline`.
    pub name: String,
    /// The old value; `None` if the value was added.
    pub before: Option<String>,
    /// The new value; `None` if the value was removed.
    pub after: Option<String>,
    /// The reason for the new value, if known.
    pub reason: Option<String>,
}

impl Display for ValueChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = &self.name;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {name}: {before} -> {after}")?,
            (None, Some(after)) => write!(f, "+ {name}: {after}")?,
            (Some(before), None) => write!(f, "- {name}: {before}")?,
            (None, None) => write!(f, "  {name}")?,
        }
        match &self.reason {
            Some(reason) => write!(f, "  ({reason})"),
            None => Ok(()),
        }
    }
}

/// All values that differ between two states of a chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChunkDifference(pub Vec<ValueChange>);

impl ChunkDifference {
    /// Compares two states of a chunk. `reasons` holds the reason for each new
    /// value, by the value's name.
    pub fn new(
        before: Option<&Chunk>,
        after: Option<&Chunk>,
        reasons: &BTreeMap<String, String>,
    ) -> Self {
        let before = before.map(describe).unwrap_or_default();
        let after = after.map(describe).unwrap_or_default();
        let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
        let changed = names
            .into_iter()
            .filter(|name| before.get(*name) != after.get(*name));
        let changes = changed.map(|name| ValueChange {
            name: name.clone(),
            before: before.get(name).cloned(),
            after: after.get(name).cloned(),
            reason: after.get(name).and(reasons.get(name)).cloned(),
        });
        Self(changes.collect())
    }

    /// Returns whether the two states are equal.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Display for ChunkDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.0 {
            writeln!(f, "  {change}")?;
        }
        Ok(())
    }
}

/// Returns the values of a chunk by name.
pub(crate) fn describe(chunk: &Chunk) -> BTreeMap<String, String> {
    match chunk {
        Chunk::Workspace(workspace) => describe_workspace(workspace),
        Chunk::DataCentre(capacity) => describe_capacity(capacity),
    }
}

fn describe_workspace(workspace: &Workspace) -> BTreeMap<String, String> {
    let limits = workspace.limits;
    let mut values = BTreeMap::new();
    let mut add = |name: &str, value: String| values.insert(name.to_owned(), value);
    add("weight", workspace.weight.to_string());
    add("models", comma_separated(&workspace.models));
    add(
        "keys",
        comma_separated(workspace.keys.iter().map(|key| key_id(*key))),
    );
    add(
        "limit requests a second",
        limits.requests_per_second.to_string(),
    );
    add(
        "limit tokens a second",
        limits.tokens_per_second.to_string(),
    );
    add("limit rush", format!("{}s", limits.burst_seconds));
    for (name, class) in &workspace.classes {
        describe_class(&format!("class {name}"), class, &mut values);
    }
    for (name, route) in &workspace.routes {
        describe_route(&format!("route {name}"), route, &mut values);
    }
    values
}

fn describe_class(prefix: &str, class: &Class, values: &mut BTreeMap<String, String>) {
    let mut add = |name: &str, value: String| values.insert(format!("{prefix} {name}"), value);
    let urgency = match class.urgency {
        Urgency::Urgent => "urgent",
        Urgency::Normal => "normal",
        Urgency::Background => "background",
    };
    add("urgency", urgency.to_owned());
    add("idempotent", yes_or_no(class.idempotent).to_owned());
    add(
        "deadline",
        humantime::format_duration(class.deadline).to_string(),
    );
}

fn describe_route(prefix: &str, route: &PlainRoute, values: &mut BTreeMap<String, String>) {
    let mut add = |name: &str, value: String| values.insert(format!("{prefix} {name}"), value);
    let access = match route.access {
        RouteAccess::Keyed => "key-holders",
        RouteAccess::Open => "anyone",
    };
    add("service", route.upstream.to_string());
    add("path", route.path.clone());
    add("methods", comma_separated(&route.methods));
    add("access", access.to_owned());
    add("class", route.class.to_string());
}

fn describe_capacity(capacity: &DataCentreCapacity) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    values.insert("order limit".to_owned(), capacity.order_limit.to_string());
    for (name, upstream) in &capacity.upstreams {
        match &upstream.kind {
            UpstreamKind::Engine { .. } => {
                describe_upstream(&format!("engine {name}"), upstream, &mut values);
            }
            UpstreamKind::Service => {
                describe_upstream(&format!("service {name}"), upstream, &mut values);
            }
        }
    }
    values
}

fn describe_upstream(prefix: &str, upstream: &Upstream, values: &mut BTreeMap<String, String>) {
    let mut add = |name: &str, value: String| values.insert(format!("{prefix} {name}"), value);
    let supply = match upstream.supply {
        Supply::Reserved => "reserved",
        Supply::Reclaimable => "reclaimable",
    };
    add("address", upstream.address.to_string());
    add("supply", supply.to_owned());
    if let UpstreamKind::Engine {
        models,
        role,
        fencing,
    } = &upstream.kind
    {
        let role = match role {
            UpstreamRole::Prefill => "prefill",
            UpstreamRole::Decode => "decode",
            UpstreamRole::Mixed => "mixed",
        };
        let fencing = match fencing {
            FencingSupport::Checked => "checked",
            FencingSupport::Ignored => "ignored",
        };
        add("models", comma_separated(models));
        add("role", role.to_owned());
        add("fencing", fencing.to_owned());
    }
}

fn yes_or_no(value: bool) -> &'static str {
    match value {
        true => "yes",
        false => "no",
    }
}

fn comma_separated<T: Display>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    match items.is_empty() {
        true => "none".to_owned(),
        false => items.join(", "),
    }
}
