//! Chooses between the upstreams of the host's own data centre and those elsewhere.

use super::{FleetView, Placement, load_of};
use crate::UpstreamKey;
use crate::dispatch::Upstream;
use crate::dispatch::remote_share::{RemoteFacts, RemoteShareChange, SiteLoad};

/// Failure share from which an upstream counts neither as home nor as room elsewhere. One
/// failed request is enough: many plain requests can't be sent twice.
const MAX_FAILURE_SHARE: f64 = 0.15;

type Candidates<'a> = Vec<(UpstreamKey, &'a Upstream)>;

impl Placement {
    /// Returns the share of the service's requests that may leave the data centre now.
    pub fn remote_share(&self, view: FleetView<'_>) -> f64 {
        let mut facts = RemoteFacts {
            home: SiteLoad::default(),
            elsewhere: SiteLoad::default(),
            news_age: view.peers.news_age(view.now),
        };
        let sound = view
            .usable()
            .filter(|(_, one)| one.failure_share < MAX_FAILURE_SHARE);
        for (_, upstream) in sound {
            let in_flight = upstream.requests_in_flight(view.peers);
            match upstream.record.data_centre == self.data_centre {
                true => facts.home.add(upstream, in_flight),
                false if in_flight < upstream.record.slots => {
                    facts.elsewhere.add(upstream, in_flight);
                }
                false => {}
            }
        }
        self.remote_shares.borrow_mut().step(view, facts)
    }

    /// Returns the latest change of a service's remote share that hasn't been returned yet.
    pub fn take_share_change(&self, service: &str) -> Option<RemoteShareChange> {
        self.remote_shares.borrow_mut().take_change(service)
    }

    /// Chooses the least loaded candidate at home, or elsewhere with the probability of
    /// the remote share. A request leaves only for an upstream with a free slot.
    pub(super) fn choose_site(
        &self,
        view: FleetView<'_>,
        candidates: Candidates<'_>,
    ) -> Option<UpstreamKey> {
        let share = self.remote_share(view);
        let has_room = |one: &Upstream| one.requests_in_flight(view.peers) < one.record.slots;
        let is_sound = |one: &Upstream| one.failure_share < MAX_FAILURE_SHARE;
        let load = |one: &Upstream| load_of(one, view.peers);
        let least = |sites: Candidates<'_>, tie_breaker| {
            let view = FleetView {
                tie_breaker,
                ..view
            };
            self.lowest_expected(view, sites, load)
        };
        let (home, elsewhere): (Candidates<'_>, Candidates<'_>) = candidates
            .iter()
            .partition(|(_, one)| one.record.data_centre == self.data_centre);
        if !home.iter().any(|(_, one)| is_sound(one)) {
            return least(candidates, view.tie_breaker);
        }
        let free: Candidates<'_> = elsewhere
            .into_iter()
            .filter(|(_, one)| is_sound(one) && has_room(one))
            .collect();
        match view.tie_breaker < share && !free.is_empty() {
            true => least(free, view.tie_breaker / share),
            false if view.tie_breaker < share => least(home, view.tie_breaker / share),
            false => least(home, (view.tie_breaker - share) / (1.0 - share)),
        }
    }
}
