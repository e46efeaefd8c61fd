//! Which upstream gets a request.
//!
//! Power of two choices: of two upstreams drawn at random the less loaded one
//! is taken. Always taking the least loaded one would send every process to the
//! same upstream until the next report. The prompt's prefix may override the
//! choice, but only up to a bounded difference in load.

use crate::entry::EntryLimits;
use crate::entry::load::UpstreamRecord;
use crate::entry::pools::{Part, SitePool, TargetPool};
use crate::entry::prefixes::PrefixMemory;
use crate::entry::spread::SpreadRng;
use crate::{RequestFacts, Target, Timestamp, UpstreamKey};
use lagoonlift_types::{Supply, UpstreamRole, Urgency};
use slotmap::SlotMap;

/// Upstreams in one data centre up to which all are looked at.
const SCANNED: usize = 8;
/// Draws from a larger pool.
const DRAWS: usize = 6;
/// Other data centres that one decision looks at.
const OTHER_SITES: usize = 3;
/// By how much a cheap upstream's load counts less, for work that may go there.
const CHEAP_BONUS: f64 = 0.3;

/// The outcome of looking for an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Choice {
    /// This one, with its load as a share of its bound.
    Found(UpstreamKey, f64),
    /// There are some, but each is at its bound.
    Full,
    /// None serves the request at all.
    Nowhere,
}

/// One request that looks for an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Search<'a> {
    pub(crate) facts: &'a RequestFacts,
    pub(crate) avoid: &'a [UpstreamKey],
    pub(crate) part: Part,
    /// Load at which an upstream is full.
    pub(crate) bound: f64,
    /// Whether to take the first that has room, not to spread.
    pub(crate) concentrates: bool,
}

/// What a search looks at.
#[derive(Debug)]
pub(crate) struct Placement<'a> {
    pub(crate) now: Timestamp,
    pub(crate) limits: &'a EntryLimits,
    pub(crate) upstreams: &'a SlotMap<UpstreamKey, UpstreamRecord>,
    pub(crate) pool: &'a TargetPool,
    pub(crate) prefixes: &'a PrefixMemory,
    pub(crate) rng: &'a mut SpreadRng,
    pub(crate) own_site: Option<usize>,
    /// Own requests on cheap upstreams, by data centre.
    pub(crate) cheap_requests: &'a [u32],
}

impl Placement<'_> {
    pub(crate) fn choose(&mut self, search: Search<'_>) -> Choice {
        let best = self.least_loaded(search);
        let ceiling = match best {
            Some((_, load)) => load + self.limits.affinity_slack,
            None => f64::INFINITY,
        };
        let holder = self
            .best_holder(search)
            .filter(|(_, load)| *load <= ceiling);
        match holder.or(best) {
            Some((key, load)) => Choice::Found(key, load),
            None if self.exists(search) => Choice::Full,
            None => Choice::Nowhere,
        }
    }

    fn least_loaded(&mut self, search: Search<'_>) -> Option<(UpstreamKey, f64)> {
        let pool = self.pool;
        let own = pool
            .sites
            .iter()
            .find(|site| Some(site.data_centre) == self.own_site);
        let own_best = own.and_then(|site| self.two_choices(site, search));
        if own_best.is_some_and(|(_, load)| load <= self.limits.nearby_share) {
            return own_best;
        }
        let mut best = own_best;
        let start = self.rng.below(pool.sites.len());
        let sites = pool.sites.iter().cycle().skip(start).take(pool.sites.len());
        let others = sites.filter(|site| Some(site.data_centre) != self.own_site);
        for site in others.take(OTHER_SITES).collect::<Vec<_>>() {
            let other = self.two_choices(site, search);
            best = match (best, other) {
                (Some(best), Some(other)) if other.1 < best.1 => Some(other),
                (None, other) => other,
                (best, _) => best,
            };
        }
        best
    }

    fn two_choices(&mut self, site: &SitePool, search: Search<'_>) -> Option<(UpstreamKey, f64)> {
        let members = site.members(search.part);
        if search.concentrates {
            let first = members.iter().take(SCANNED);
            return first.filter_map(|key| self.load_of(*key, search)).next();
        }
        let mut found = [None; SCANNED];
        let mut count = 0;
        match members.len() <= SCANNED {
            true => {
                for key in members {
                    found[count] = self.load_of(*key, search);
                    count += usize::from(found[count].is_some());
                }
            }
            false => {
                for _ in 0..DRAWS {
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

    fn best_holder(&self, search: Search<'_>) -> Option<(UpstreamKey, f64)> {
        let holders = self.prefixes.holders(search.facts.prefix?);
        let loads = holders.iter().filter_map(|key| self.load_of(*key, search));
        loads.min_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    /// Returns the upstream with its load, if the request may go there now.
    fn load_of(&self, key: UpstreamKey, search: Search<'_>) -> Option<(UpstreamKey, f64)> {
        let upstream = self.upstreams.get(key)?;
        if search.avoid.contains(&key) || !can_serve(upstream, search) {
            return None;
        }
        let bonus = match upstream.facts.supply {
            Supply::Reserved => 0.0,
            Supply::Reclaimable if self.may_be_lost(upstream, search.facts) => CHEAP_BONUS,
            Supply::Reclaimable => return None,
        };
        let load = upstream.load(self.now, self.limits);
        (load < search.bound).then_some((key, load - bonus))
    }

    /// Returns whether the request survives the loss of a cheap upstream, and
    /// the rest of the fleet that of all which its data centre's cheap ones do.
    fn may_be_lost(&self, upstream: &UpstreamRecord, facts: &RequestFacts) -> bool {
        let survives = facts.idempotent && facts.urgency != Urgency::Urgent;
        let in_use = self.cheap_requests.get(upstream.site);
        let own_use = f64::from(in_use.copied().unwrap_or(0));
        let absorbable = self.limits.absorbable_share
            * self.pool.reserved as f64
            * f64::from(self.limits.streams);
        survives && own_use * f64::from(self.limits.entry_processes) < absorbable
    }

    /// Returns whether some upstream would serve the request if it had room.
    fn exists(&self, search: Search<'_>) -> bool {
        let sites = self.pool.sites.iter();
        let members = sites.flat_map(|site| site.members(search.part));
        members
            .filter(|key| !search.avoid.contains(key))
            .filter_map(|key| self.upstreams.get(*key))
            .any(|upstream| {
                let is_reserved = upstream.facts.supply == Supply::Reserved;
                let survives = search.facts.idempotent && search.facts.urgency != Urgency::Urgent;
                is_reserved || survives
            })
    }
}

fn can_serve(upstream: &UpstreamRecord, search: Search<'_>) -> bool {
    let facts = &upstream.facts;
    let serves = match &search.facts.target {
        Target::Model(model) => facts.models.contains(model),
        Target::Service(name) => facts.role.is_none() && facts.name == *name,
    };
    let reads_only = facts.role == Some(UpstreamRole::Prefill);
    serves && facts.accepts_work && reads_only == (search.part == Part::Prompt)
}
