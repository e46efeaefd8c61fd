//! Selects the upstream for a request.
//!
//! The selection uses the power of two choices: of two upstreams drawn at
//! random, it takes the less loaded one. If every entry process always took the
//! least loaded upstream, all of them would choose the same one until the next
//! load report. An engine that holds the prefix of the prompt is preferred, but
//! only within a bounded difference in load.

use crate::entry::EntryLimits;
use crate::entry::load::UpstreamRecord;
use crate::entry::pools::{DataCentrePool, Phase, TargetPool};
use crate::entry::prefixes::PrefixIndex;
use crate::entry::rng::SplitMix64;
use crate::{RequestFacts, Target, Timestamp, UpstreamKey};
use lagoonlift_types::{Supply, UpstreamRole, Urgency};
use slotmap::SlotMap;

/// Number of upstreams in one data centre up to which all are examined. From a
/// larger pool, upstreams are drawn at random, except that a search with
/// [`Search::takes_first`] examines the first `MAX_SCANNED` of them.
const MAX_SCANNED: usize = 8;
/// Maximum number of random draws from a larger pool.
const MAX_DRAWS: usize = 6;
/// Maximum number of other data centres examined by one decision.
const MAX_OTHER_DATA_CENTRES: usize = 3;
/// Amount subtracted from the load of a reclaimable upstream, as a share of its
/// limit, so that requests that may run there prefer it. [`Search::max_load`] is
/// compared with the load without this discount.
const LOAD_DISCOUNT: f64 = 0.3;

/// Result of the search for an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Choice {
    /// The selected upstream, with its load as a share of its limit. The load of
    /// a reclaimable upstream is reduced by [`LOAD_DISCOUNT`] and can therefore
    /// be negative.
    Found(UpstreamKey, f64),
    /// Some upstreams serve the request, but all of them are full.
    Full,
    /// No upstream serves the request.
    NoUpstream,
}

/// Parameters of the search for an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Search<'a> {
    pub(crate) facts: &'a RequestFacts,
    pub(crate) avoid: &'a [UpstreamKey],
    pub(crate) phase: Phase,
    /// Load at which an upstream counts as full.
    pub(crate) max_load: f64,
    /// Whether to take, in each data centre, the first upstream that has room
    /// instead of spreading the requests. Only the first [`MAX_SCANNED`]
    /// upstreams of a data centre are examined then.
    pub(crate) takes_first: bool,
}

/// State of the policy that the search for an upstream reads.
#[derive(Debug)]
pub(crate) struct Placement<'a> {
    pub(crate) now: Timestamp,
    pub(crate) limits: &'a EntryLimits,
    pub(crate) upstreams: &'a SlotMap<UpstreamKey, UpstreamRecord>,
    pub(crate) pool: &'a TargetPool,
    pub(crate) prefixes: &'a PrefixIndex,
    pub(crate) rng: &'a mut SplitMix64,
    pub(crate) own_data_centre: Option<usize>,
    /// In-flight requests of this process on reclaimable upstreams, indexed by
    /// data centre.
    pub(crate) reclaimable_requests: &'a [u32],
}

impl Placement<'_> {
    pub(crate) fn choose(&mut self, search: Search<'_>) -> Choice {
        let best = self.least_loaded(search);
        let ceiling = match best {
            Some((_, load)) => load + self.limits.affinity_slack,
            None => f64::INFINITY,
        };
        let holder = self
            .least_loaded_holder(search)
            .filter(|(_, load)| *load <= ceiling);
        match holder.or(best) {
            Some((key, load)) => Choice::Found(key, load),
            None if self.has_candidate(search) => Choice::Full,
            None => Choice::NoUpstream,
        }
    }

    fn least_loaded(&mut self, search: Search<'_>) -> Option<(UpstreamKey, f64)> {
        let pool = self.pool;
        let own = pool
            .data_centres
            .iter()
            .find(|data_centre| Some(data_centre.index) == self.own_data_centre);
        let own_best = own.and_then(|data_centre| self.two_choices(data_centre, search));
        if own_best.is_some_and(|(_, load)| load <= self.limits.local_load_share) {
            return own_best;
        }
        let mut best = own_best;
        let start = self.rng.below(pool.data_centres.len());
        let data_centres = pool
            .data_centres
            .iter()
            .cycle()
            .skip(start)
            .take(pool.data_centres.len());
        let others =
            data_centres.filter(|data_centre| Some(data_centre.index) != self.own_data_centre);
        for data_centre in others.take(MAX_OTHER_DATA_CENTRES).collect::<Vec<_>>() {
            let other = self.two_choices(data_centre, search);
            best = match (best, other) {
                (Some(best), Some(other)) if other.1 < best.1 => Some(other),
                (None, other) => other,
                (best, _) => best,
            };
        }
        best
    }

    fn two_choices(
        &mut self,
        data_centre: &DataCentrePool,
        search: Search<'_>,
    ) -> Option<(UpstreamKey, f64)> {
        let members = data_centre.members(search.phase);
        if search.takes_first {
            let first = members.iter().take(MAX_SCANNED);
            return first.filter_map(|key| self.load_of(*key, search)).next();
        }
        let mut found = [None; MAX_SCANNED];
        let mut count = 0;
        match members.len() <= MAX_SCANNED {
            true => {
                for key in members {
                    found[count] = self.load_of(*key, search);
                    count += usize::from(found[count].is_some());
                }
            }
            false => {
                for _ in 0..MAX_DRAWS {
                    let key = members[self.rng.below(members.len())];
                    found[count] = self.load_of(key, search);
                    count += usize::from(found[count].is_some());
                    if count == 2 {
                        break;
                    }
                }
            }
        }
        if count == 0 {
            return None;
        }
        let first = self.rng.below(count);
        let second = match count {
            1 => first,
            _ => (first + 1 + self.rng.below(count - 1)) % count,
        };
        match (found[first], found[second]) {
            (Some(a), Some(b)) if b.1 < a.1 => Some(b),
            (a, _) => a,
        }
    }

    fn least_loaded_holder(&self, search: Search<'_>) -> Option<(UpstreamKey, f64)> {
        let holders = self.prefixes.holders(search.facts.prefix?);
        let loads = holders.iter().filter_map(|key| self.load_of(*key, search));
        loads.min_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    /// Returns the upstream with its load, or `None` if the request can't be sent
    /// there now. The load of a reclaimable upstream is reduced by
    /// [`LOAD_DISCOUNT`].
    fn load_of(&self, key: UpstreamKey, search: Search<'_>) -> Option<(UpstreamKey, f64)> {
        let upstream = self.upstreams.get(key)?;
        if search.avoid.contains(&key) || !can_serve(upstream, search) {
            return None;
        }
        let discount = match upstream.facts.supply {
            Supply::Reserved => 0.0,
            Supply::Reclaimable if self.may_use_reclaimable(upstream, search.facts) => {
                LOAD_DISCOUNT
            }
            Supply::Reclaimable => return None,
        };
        let load = upstream.load(self.now, self.limits);
        (load < search.max_load).then_some((key, load - discount))
    }

    /// Returns whether the request may run on the reclaimable `upstream`.
    ///
    /// The request must tolerate the loss of the upstream, and the reserved
    /// upstreams must be able to absorb the requests that a loss would move to
    /// them. For this, the requests of all targets on reclaimable upstreams in the
    /// data centre of `upstream` are compared with a share of the stream capacity
    /// of the reserved upstreams of this request's target in all data centres. Every
    /// other entry process is assumed to have as many requests there as this one.
    fn may_use_reclaimable(&self, upstream: &UpstreamRecord, facts: &RequestFacts) -> bool {
        let is_loss_tolerant = facts.idempotent && facts.urgency != Urgency::Urgent;
        let in_use = self.reclaimable_requests.get(upstream.data_centre_index);
        let own_requests = f64::from(in_use.copied().unwrap_or(0));
        let absorbable = self.limits.absorbable_share
            * self.pool.reserved_count as f64
            * f64::from(self.limits.max_streams);
        is_loss_tolerant && own_requests * f64::from(self.limits.entry_processes) < absorbable
    }

    /// Returns whether some upstream could serve the request if it weren't full.
    fn has_candidate(&self, search: Search<'_>) -> bool {
        let data_centres = self.pool.data_centres.iter();
        let members = data_centres.flat_map(|data_centre| data_centre.members(search.phase));
        members
            .filter(|key| !search.avoid.contains(key))
            .filter_map(|key| self.upstreams.get(*key))
            .any(|upstream| {
                let is_reserved = upstream.facts.supply == Supply::Reserved;
                let is_loss_tolerant =
                    search.facts.idempotent && search.facts.urgency != Urgency::Urgent;
                is_reserved || is_loss_tolerant
            })
    }
}

fn can_serve(upstream: &UpstreamRecord, search: Search<'_>) -> bool {
    let facts = &upstream.facts;
    let serves = match &search.facts.target {
        Target::Model(model) => facts.models.contains(model),
        Target::Service(name) => facts.role.is_none() && facts.name == *name,
    };
    let is_prefill_engine = facts.role == Some(UpstreamRole::Prefill);
    serves && facts.accepts_requests && is_prefill_engine == (search.phase == Phase::Prefill)
}
