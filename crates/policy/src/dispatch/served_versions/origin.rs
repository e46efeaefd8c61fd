//! Which service began a stream.

use super::history::ServiceHistory;
use super::{ServedVersions, digest_of};
use crate::Timestamp;
use crate::dispatch::{Route, RoutePattern, ServingConfig, VersionDigest};
use std::collections::{HashMap, HashSet};

impl ServedVersions {
    /// Records to which services the routes of a configuration lead that comes into force, as
    /// far as their streams can be resumed.
    pub fn set_routes(&mut self, now: Timestamp, config: &ServingConfig) {
        let mut in_force: HashMap<&str, HashSet<RoutePattern>> = HashMap::new();
        let routes = config.routes().iter();
        for route in routes.filter(|route| route.retry_safety.is_resumable()) {
            for service in route.used_services() {
                let patterns = in_force.entry(&service.service).or_default();
                patterns.insert(RoutePattern::new(route));
            }
        }
        let none = HashSet::new();
        for (service, history) in &mut self.services {
            let patterns = in_force.remove(service.as_str());
            history
                .routes
                .set_in_force(now, patterns.as_ref().unwrap_or(&none));
        }
        for (service, patterns) in in_force {
            let history = self.history_mut(service);
            history.routes.set_in_force(now, &patterns);
        }
    }

    /// Returns the service that has, or has had, `version`.
    pub fn service_of(&self, version: VersionDigest) -> Option<&str> {
        let mut services = self.services.iter();
        let found = services.find(|(service, history)| {
            let mut names = history.versions.keys();
            names.any(|name| digest_of(service, name) == Some(version))
        });
        found.map(|(service, _)| service.as_str())
    }

    /// Returns the service that alone can have begun the streams that callers may still resume
    /// with this host name and path, which `route` takes now. `None` if several can. Which of
    /// its versions began them is another question, and what is known must be current.
    pub fn sole_service(
        &self,
        now: Timestamp,
        route: &Route,
        host_name: &str,
        path: &str,
    ) -> Option<&str> {
        let mut candidates = self.services.iter().filter(|(service, history)| {
            let lifetime = history.longest_lifetime();
            let leads = |one: &RoutePattern| one.matches(host_name, path);
            let may_have_led =
                route.may_use(service) || history.routes.may_have_led(now, lifetime, leads);
            match self.is_complete(now, history) {
                true => may_have_led && history.recent_versions(now).next().is_some(),
                // The record may have lost versions, and routes.
                false => true,
            }
        });
        let (sole, _) = candidates.next()?;
        candidates.next().is_none().then_some(sole)
    }

    /// Returns whether a stream of `service` that callers may still resume may have come by a
    /// route by which another service has begun one, too.
    pub(super) fn shares_routes(
        &self,
        now: Timestamp,
        service: &str,
        history: &ServiceHistory,
    ) -> bool {
        if history.routes.is_unused() {
            return false;
        }
        let lifetime = history.longest_lifetime();
        let others = self.services.iter();
        let mut others =
            others.filter(|(name, other)| !other.routes.is_unused() && *name != service);
        others.any(|(_, other)| {
            let other_lifetime = other.longest_lifetime();
            let routes = &other.routes;
            other.recent_versions(now).next().is_some()
                && history
                    .routes
                    .overlaps(now, lifetime, routes, other_lifetime)
        })
    }
}
