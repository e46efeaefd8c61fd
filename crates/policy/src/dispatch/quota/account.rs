//! What one host knows and holds of a workspace's quota.

use super::limits::{QuotaKey, QuotaLimits, WorkspaceQuota};
use super::messages::QuotaGrant;
use crate::Timestamp;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Time constant of the demand of a workspace at this host.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Shortest time between two questions for tokens in advance.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(50);

/// `Retry-After` where no owner answers: an election takes about that time.
const OWNERLESS_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Who granted tokens, and when by its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GrantOrigin {
    pub(super) owner: SocketAddr,
    pub(super) term: u64,
    pub(super) granted_at_us: u64,
}

/// The charge of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaCharge {
    pub(super) key: QuotaKey,
    pub(super) tokens: u64,
    /// `None` if no owner granted the charge.
    pub(super) origin: Option<GrantOrigin>,
}

impl QuotaCharge {
    /// Returns whether the charge was admitted without an owner.
    pub fn is_ownerless(&self) -> bool {
        self.origin.is_none()
    }

    /// Returns the units charged.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

/// Why a request is refused, and when its caller may come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaRefusal {
    /// The quota is used up.
    UsedUp {
        /// Time after which there is room.
        retry_after: Duration,
        /// What is left of the quota; negative for a debt.
        left: i64,
        /// Age of what is known of that.
        age: Duration,
    },
    /// The charge is larger than the quota.
    TooLarge {
        /// Time after which a smaller request may come.
        retry_after: Duration,
    },
    /// No owner has answered, and this host's share of the slack is spent.
    NoOwner {
        /// Time after which an owner should answer.
        retry_after: Duration,
    },
}

impl QuotaRefusal {
    /// Returns the time after which the caller may come back.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::UsedUp { retry_after, .. }
            | Self::TooLarge { retry_after }
            | Self::NoOwner { retry_after } => *retry_after,
        }
    }
}

/// The decision about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The request may run. `None` if its workspace has no quota.
    Admit(Option<QuotaCharge>),
    /// The request may not run.
    Refuse(QuotaRefusal),
}

/// Tokens that may be spent until they expire.
#[derive(Clone, Copy, Debug)]
struct HeldTokens {
    origin: GrantOrigin,
    tokens: u64,
    expires_at: Timestamp,
}

/// A denial of the owner that applies to other requests, too.
#[derive(Clone, Copy, Debug)]
struct KnownDenial {
    charge: u64,
    left: i64,
    at: Timestamp,
    until: Timestamp,
    /// Time at which the next refused caller may come back.
    next_return: Timestamp,
    /// Number of hosts that refuse requests like this one.
    hosts: u16,
}

/// Account of one workspace at one host.
#[derive(Clone, Debug)]
pub(super) struct QuotaAccount {
    key: QuotaKey,
    pub(super) quota: WorkspaceQuota,
    held: Vec<HeldTokens>,
    /// Charges of about one [`DEMAND_TIME`].
    demand: f64,
    demand_at: Timestamp,
    denial: Option<KnownDenial>,
    /// Charges admitted without an owner, within a window.
    ownerless: VecDeque<(Timestamp, u64)>,
    advance_asked_at: Option<Timestamp>,
}

impl QuotaAccount {
    pub(super) fn new(key: QuotaKey, quota: WorkspaceQuota) -> Self {
        Self {
            key,
            quota,
            held: Vec::new(),
            demand: 0.0,
            demand_at: Timestamp::default(),
            denial: None,
            ownerless: VecDeque::new(),
            advance_asked_at: None,
        }
    }

    /// Applies a changed quota. What is known of the old one no longer holds.
    pub(super) fn set_quota(&mut self, quota: WorkspaceQuota) {
        if self.quota != quota {
            self.quota = quota;
            self.denial = None;
        }
    }

    pub(super) fn record_demand(&mut self, now: Timestamp, charge: u64) {
        let elapsed = now.since(self.demand_at).as_secs_f64();
        self.demand *= (-elapsed / DEMAND_TIME.as_secs_f64()).exp();
        self.demand += charge as f64;
        self.demand_at = now;
    }

    /// Spends tokens that this host holds.
    pub(super) fn spend_held(&mut self, now: Timestamp, charge: u64) -> Option<QuotaCharge> {
        let fits = |held: &&mut HeldTokens| held.tokens >= charge && now < held.expires_at;
        let held = self.held.iter_mut().find(fits)?;
        held.tokens -= charge;
        Some(QuotaCharge {
            key: self.key,
            tokens: charge,
            origin: Some(held.origin),
        })
    }

    /// Returns the refusal that a denial to an earlier request implies.
    pub(super) fn known_refusal(
        &mut self,
        now: Timestamp,
        charge: u64,
        window: Duration,
    ) -> Option<QuotaRefusal> {
        let denial = self.denial.as_mut()?;
        if now >= denial.until || charge < denial.charge {
            return None;
        }
        let own_time = Duration::try_from_secs_f64(charge as f64 / self.quota.rate_per_s);
        let spacing = own_time.unwrap_or_default() * u32::from(denial.hosts);
        denial.next_return = (denial.next_return + spacing).min(denial.at + window);
        Some(QuotaRefusal::UsedUp {
            retry_after: denial.next_return.since(now),
            left: denial.left,
            age: now.since(denial.at),
        })
    }

    /// Records that the owner denied `charge`, which fits after `fits_after`.
    pub(super) fn record_denial(
        &mut self,
        now: Timestamp,
        charge: u64,
        left: i64,
        fits_after: Duration,
        next_return: Timestamp,
        hosts: u16,
    ) {
        self.denial = Some(KnownDenial {
            charge,
            left,
            at: now,
            until: now + fits_after,
            next_return,
            hosts,
        });
    }

    /// Returns the tokens to ask for in advance beside a request, or at any time: what the
    /// demand of a grant's life needs, if that is at least one request of this size.
    pub(super) fn advance_wanted(&mut self, now: Timestamp, charge: u64, ttl: Duration) -> u64 {
        let target = self.demand * ttl.as_secs_f64() / DEMAND_TIME.as_secs_f64();
        let held: u64 = self.held.iter().map(|held| held.tokens).sum();
        let is_recent = |at: Timestamp| now.since(at) < ADVANCE_INTERVAL;
        let is_enough = held as f64 >= target / 2.0;
        if target < charge as f64 || is_enough || self.advance_asked_at.is_some_and(is_recent) {
            return 0;
        }
        self.advance_asked_at = Some(now);
        target as u64 - held
    }

    /// Keeps tokens that were granted in advance.
    pub(super) fn hold(&mut self, owner: SocketAddr, grant: QuotaGrant, expires_at: Timestamp) {
        self.held.push(HeldTokens {
            origin: origin_of(owner, grant),
            tokens: grant.advance,
            expires_at,
        });
    }

    /// Removes the tokens that have expired, and returns them with their origin.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<(GrantOrigin, u64)> {
        let is_over = |held: &mut HeldTokens| held.tokens == 0 || now >= held.expires_at;
        let over = self.held.extract_if(.., is_over);
        let unspent = over.filter(|held| held.tokens > 0);
        unspent.map(|held| (held.origin, held.tokens)).collect()
    }

    /// Decides about a request that no owner has answered.
    pub(super) fn decide_ownerless(
        &mut self,
        now: Timestamp,
        charge: u64,
        limits: &QuotaLimits,
        most_hosts: Option<usize>,
    ) -> QuotaDecision {
        let is_past = |(at, _): &(Timestamp, u64)| now.since(*at) >= limits.window;
        while self.ownerless.front().is_some_and(is_past) {
            self.ownerless.pop_front();
        }
        let spent: u64 = self.ownerless.iter().map(|(_, charge)| charge).sum();
        let share = most_hosts.map_or(0.0, |hosts| limits.ownerless_share(&self.quota, hosts));
        if (spent + charge) as f64 > share {
            return QuotaDecision::Refuse(QuotaRefusal::NoOwner {
                retry_after: OWNERLESS_RETRY_AFTER,
            });
        }
        self.ownerless.push_back((now, charge));
        QuotaDecision::Admit(Some(QuotaCharge {
            key: self.key,
            tokens: charge,
            origin: None,
        }))
    }
}

pub(super) fn origin_of(owner: SocketAddr, grant: QuotaGrant) -> GrantOrigin {
    GrantOrigin {
        owner,
        term: grant.term,
        granted_at_us: grant.granted_at_us,
    }
}
