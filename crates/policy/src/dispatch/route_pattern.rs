//! Which requests a route takes.

use super::Route;
use serde::{Deserialize, Serialize};

/// The host name and the path prefix of the requests that a route takes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoutePattern {
    /// HTTP host name.
    pub host_name: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
}

impl RoutePattern {
    /// Returns the pattern of `route`.
    pub fn new(route: &Route) -> Self {
        Self {
            host_name: route.host_name.clone(),
            prefix: route.prefix.clone(),
        }
    }

    /// Returns whether a route with this pattern may take a request with this host name and
    /// path. One with a longer prefix goes before it, as long as it is in the configuration.
    pub fn matches(&self, host_name: &str, path: &str) -> bool {
        self.host_name == host_name && path.starts_with(&self.prefix)
    }

    /// Returns whether a request may match both patterns.
    pub(super) fn overlaps(&self, other: &Self) -> bool {
        self.matches(&other.host_name, &other.prefix)
            || other.matches(&self.host_name, &self.prefix)
    }
}
