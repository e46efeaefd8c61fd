//! Upstreams that stopped accepting connections while this host may have been cut off from them.
//!
//! A request ends early, and its upstream refuses connections. Either it has crashed, and the
//! request may be the cause, or this host is cut off, and the request has nothing to do with it.
//! While several upstreams are out of reach at once, nothing tells the two apart at that moment.
//! The break is therefore kept open, with the incarnation, the time and what was on the upstream,
//! until it is known:
//!
//! - the list shows another incarnation, or none any more: it has crashed;
//! - another host has seen the same incarnation crash: it has crashed;
//! - it still refuses when another upstream of the service accepts a connection: this host isn't
//!   cut off, so it has crashed;
//! - it accepts connections again, and the list shows the same incarnation after the time that
//!   an upstream takes to write its entry: this host was cut off.
//!
//! Nothing waits for that: the request itself goes on as its route allows.

use super::{CrashId, HostPaths, ServiceVersion, SuspectKey, UpstreamRecord};
use crate::{Timestamp, UpstreamKey};
use std::time::Duration;

/// Time after which the entry of an upstream that has started again is certainly listed.
const LISTING_TIME: Duration = Duration::from_secs(3);

/// Time after which a break of which nothing has become known is forgotten. The entry of an
/// upstream that has ended lapses sooner, unless the store is away.
const MAX_OPEN_TIME: Duration = Duration::from_secs(30);

/// Largest number of open breaks, and of requests that are kept for each.
const MAX_BREAKS: usize = 512;
const MAX_REQUESTS: usize = 64;

/// A break of contact to one incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenBreak {
    /// The crash, if it is one.
    pub crash: CrashId,
    /// The upstream; its key ends with the incarnation.
    pub upstream: UpstreamKey,
    /// Name of its service.
    pub service: String,
    /// What it runs.
    pub origin: ServiceVersion,
    /// Time of the break.
    pub at: Timestamp,
    /// The suspects of each request that was on the upstream.
    pub requests: Vec<Vec<SuspectKey>>,
    /// Whether it has accepted a connection since.
    has_accepted: bool,
    /// Time since which it accepts connections, if none has failed later.
    accepts_since: Option<Timestamp>,
    /// Time since which this host certainly opens connections to others.
    others_accept_since: Option<Timestamp>,
}

impl OpenBreak {
    /// Creates a break at the time `at` of contact to the incarnation with the entry `record`.
    pub fn new(
        at: Timestamp,
        upstream: UpstreamKey,
        record: &UpstreamRecord,
        requests: Vec<Vec<SuspectKey>>,
    ) -> Self {
        Self {
            crash: CrashId::new(record),
            upstream,
            service: record.service.clone(),
            origin: ServiceVersion::of(record),
            at,
            requests,
            has_accepted: false,
            accepts_since: None,
            others_accept_since: None,
        }
    }
}

/// What has become known of the incarnation of a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakFacts {
    /// Whether the list still shows it.
    pub is_listed: bool,
    /// Whether another host has seen it crash.
    pub is_known_crash: bool,
}

/// What a break was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakVerdict {
    /// The list shows the incarnation no more.
    Replaced,
    /// Another host has seen it crash.
    SeenByOthers,
    /// It refuses connections while another upstream accepts them.
    RefusesAlone,
    /// It answers again: this host was cut off.
    CutOff,
    /// Nothing has become known of it in time.
    Unknown,
}

impl BreakVerdict {
    /// Returns whether the upstream has crashed.
    pub fn is_crash(self) -> bool {
        match self {
            Self::Replaced | Self::SeenByOthers | Self::RefusesAlone => true,
            Self::CutOff | Self::Unknown => false,
        }
    }

    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::SeenByOthers => "seen by others",
            Self::RefusesAlone => "refuses alone",
            Self::CutOff => "cut off",
            Self::Unknown => "unknown",
        }
    }
}

/// The breaks of which it isn't known yet what they were.
#[derive(Clone, Debug, Default)]
pub struct OpenBreaks(Vec<OpenBreak>);

impl OpenBreaks {
    /// Creates an instance without breaks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps a break until it is known what it was. Requests of a known one are added to it, unless
    /// the upstream has accepted connections since, so that this host was cut off then. Returns
    /// the oldest one if there are too many.
    pub fn open(&mut self, mut one: OpenBreak) -> Option<OpenBreak> {
        one.requests.truncate(MAX_REQUESTS);
        let known = self.0.iter_mut().find(|known| known.crash == one.crash);
        match known {
            Some(known) if known.has_accepted => {
                *known = one;
                None
            }
            Some(known) => {
                known.others_accept_since = None;
                known.requests.append(&mut one.requests);
                known.requests.truncate(MAX_REQUESTS);
                None
            }
            None => {
                self.0.push(one);
                (self.0.len() > MAX_BREAKS).then(|| self.0.remove(0))
            }
        }
    }

    /// Returns the number of open breaks.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no break is open.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes and returns the breaks of which it is known by now what they were. `facts` returns
    /// what has become known of an incarnation.
    pub fn decide(
        &mut self,
        now: Timestamp,
        paths: &HostPaths,
        facts: impl Fn(&OpenBreak) -> BreakFacts,
    ) -> Vec<(OpenBreak, BreakVerdict)> {
        let mut decided = Vec::new();
        for mut one in std::mem::take(&mut self.0) {
            let accepted = paths.accepted_since(&one.service, one.upstream, one.at);
            one.has_accepted |= accepted.is_some();
            one.accepts_since = accepted.map(|at| one.accepts_since.unwrap_or(at));
            one.others_accept_since = one
                .others_accept_since
                .or_else(|| paths.opened_beside(&one.service, one.upstream, one.at));
            match one.verdict(now, paths, facts(&one)) {
                Some(verdict) => decided.push((one, verdict)),
                None => self.0.push(one),
            }
        }
        decided
    }
}

impl OpenBreak {
    /// Returns whether a connection failed after one to another upstream had opened, and none has
    /// opened since the break. A cut may end between a failure and an opening.
    fn refuses_alone(&self, paths: &HostPaths) -> bool {
        let refused_at = paths.refused_at(&self.service, self.upstream);
        let has_failed_since = self
            .others_accept_since
            .is_some_and(|since| refused_at > Some(since));
        has_failed_since && !self.has_accepted
    }

    fn verdict(
        &self,
        now: Timestamp,
        paths: &HostPaths,
        facts: BreakFacts,
    ) -> Option<BreakVerdict> {
        let is_listed_again = self
            .accepts_since
            .is_some_and(|since| now.since(since) >= LISTING_TIME);
        match facts {
            _ if !facts.is_listed => Some(BreakVerdict::Replaced),
            _ if facts.is_known_crash => Some(BreakVerdict::SeenByOthers),
            _ if self.refuses_alone(paths) => Some(BreakVerdict::RefusesAlone),
            _ if is_listed_again => Some(BreakVerdict::CutOff),
            _ if now.since(self.at) >= MAX_OPEN_TIME => Some(BreakVerdict::Unknown),
            _ => None,
        }
    }
}
