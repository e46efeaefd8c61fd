//! One workspace's limits at one host.
//!
//! A limit holds for all hosts together. Each host lets through its part of the
//! limit: the part that the demand here has in the demand everywhere. When
//! traffic moves, the parts move with it, and all parts together stay one. No
//! request waits for another host.
//!
//! Output tokens are known only afterwards, so a request is charged what its
//! answer is expected to need, and the difference is settled when it ends.

use lagoonlift_types::Limits;
use std::time::Duration;
use tokio::time::Instant;

/// Requests over which demand is averaged: the more come, the sooner a change
/// of their rate is certain.
const AVERAGING_REQUESTS: f64 = 20.0;

/// Shortest time over which demand is averaged, in seconds.
const MIN_AVERAGING_SECONDS: f64 = 0.1;

/// Longest time over which demand is averaged, in seconds.
const MAX_AVERAGING_SECONDS: f64 = 2.0;

/// Demand below which none is told, in requests a second.
const MIN_REPORTED_REQUESTS_PER_SECOND: f64 = 0.01;

/// Share of the maximum that an answer is expected to need at first.
const INITIAL_OUTPUT_SHARE: f64 = 0.5;

/// Weight of the latest answer in the expected share.
const OUTPUT_SHARE_WEIGHT: f64 = 0.05;

/// The offered load, averaged over the last requests.
#[derive(Clone, Copy, Debug)]
struct LoadMeter {
    load: OfferedLoad,
    updated_at: Instant,
}

impl LoadMeter {
    fn new(updated_at: Instant) -> Self {
        let load = OfferedLoad::default();
        Self { load, updated_at }
    }

    fn averaging_seconds(&self) -> f64 {
        (AVERAGING_REQUESTS / self.load.requests)
            .clamp(MIN_AVERAGING_SECONDS, MAX_AVERAGING_SECONDS)
    }

    fn load(&self, now: Instant) -> OfferedLoad {
        let elapsed_seconds = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = (-elapsed_seconds / self.averaging_seconds()).exp();
        OfferedLoad {
            requests: self.load.requests * decay,
            tokens: self.load.tokens * decay,
        }
    }

    fn add(&mut self, now: Instant, tokens: f64) {
        let averaging_seconds = self.averaging_seconds();
        self.load = self.load(now);
        self.load.requests += 1.0 / averaging_seconds;
        self.load.tokens += tokens / averaging_seconds;
        self.updated_at = now;
    }
}

/// A token bucket whose rate and size change with the host's part.
#[derive(Clone, Copy, Debug)]
struct ShareBucket {
    level: f64,
    updated_at: Instant,
}

impl ShareBucket {
    fn new(now: Instant, limit: LimitShare) -> Self {
        Self {
            level: limit.capacity,
            updated_at: now,
        }
    }

    fn refill(&mut self, now: Instant, limit: LimitShare) {
        let elapsed_seconds = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.level = (self.level + limit.rate * elapsed_seconds).min(limit.capacity);
        self.updated_at = now;
    }
}

/// A host's part of one limit.
#[derive(Clone, Copy, Debug)]
struct LimitShare {
    rate: f64,
    capacity: f64,
}

impl LimitShare {
    fn new(limit: f64, burst_seconds: f64, host_share: f64) -> Self {
        let rate = limit * host_share;
        // One request must fit, or a small part would let nothing through.
        let capacity = (rate * burst_seconds).max(1.0);
        Self { rate, capacity }
    }

    /// Returns when a bucket at `level` will let a request through.
    fn retry_after(&self, level: f64, needed: f64) -> Duration {
        match self.rate > 0.0 {
            true => Duration::from_secs_f64(
                ((needed - level) / self.rate).clamp(0.0, MAX_RETRY_AFTER_SECONDS),
            ),
            false => Duration::from_secs_f64(MAX_RETRY_AFTER_SECONDS),
        }
    }
}

/// Longest time after which a caller is asked to come back, in seconds.
const MAX_RETRY_AFTER_SECONDS: f64 = 60.0;

/// What is asked of the limits, in requests and tokens a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OfferedLoad {
    /// Requests a second.
    pub requests: f64,
    /// Tokens a second.
    pub tokens: f64,
}

/// What a request was charged, to be settled when it ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenCharge {
    prompt_tokens: u64,
    max_output_tokens: u64,
    charged_tokens: f64,
}

/// One workspace's limits at one host.
#[derive(Clone, Copy, Debug)]
pub struct WorkspaceLimiter {
    limits: Limits,
    hosts: u32,
    other_hosts: OfferedLoad,
    meter: LoadMeter,
    requests: ShareBucket,
    tokens: ShareBucket,
    output_share: f64,
}

impl WorkspaceLimiter {
    /// Creates the limiter of one of `hosts` hosts.
    pub fn new(now: Instant, limits: Limits, hosts: u32) -> Self {
        let host_share = 1.0 / f64::from(hosts.max(1));
        let burst = limits.burst_seconds;
        Self {
            limits,
            hosts,
            other_hosts: OfferedLoad::default(),
            meter: LoadMeter::new(now),
            requests: ShareBucket::new(
                now,
                LimitShare::new(limits.requests_per_second, burst, host_share),
            ),
            tokens: ShareBucket::new(
                now,
                LimitShare::new(limits.tokens_per_second, burst, host_share),
            ),
            output_share: INITIAL_OUTPUT_SHARE,
        }
    }

    /// Replaces the limits and the number of hosts.
    pub fn update(&mut self, now: Instant, limits: Limits, hosts: u32) {
        self.refill(now);
        self.limits = limits;
        self.hosts = hosts;
    }

    /// Sets what is asked of the limits at all other hosts together.
    pub fn set_other_hosts_load(&mut self, now: Instant, other_hosts: OfferedLoad) {
        self.refill(now);
        self.other_hosts = other_hosts;
    }

    /// Returns what is asked of the limits here, let through or not.
    pub fn offered(&self, now: Instant) -> OfferedLoad {
        let load = self.meter.load(now);
        match load.requests < MIN_REPORTED_REQUESTS_PER_SECOND {
            true => OfferedLoad::default(),
            false => load,
        }
    }

    /// Lets a request through and charges it.
    ///
    /// # Errors
    ///
    /// Says when to come back if the limit is reached.
    pub fn admit(
        &mut self,
        now: Instant,
        prompt_tokens: u64,
        max_output_tokens: u64,
    ) -> Result<TokenCharge, Duration> {
        let charged_tokens = prompt_tokens as f64 + max_output_tokens as f64 * self.output_share;
        self.meter.add(now, charged_tokens);
        self.refill(now);
        let (requests, tokens) = self.host_shares(now);
        // A charge may be larger than the bucket, so tokens need only be in
        // credit; the debt holds the next requests back.
        let has_tokens = charged_tokens == 0.0 || self.tokens.level > 0.0;
        let retry_after = match has_tokens {
            true => requests.retry_after(self.requests.level, 1.0),
            false => tokens.retry_after(self.tokens.level, 1.0),
        };
        if self.requests.level < 1.0 || !has_tokens {
            return Err(retry_after);
        }
        self.requests.level -= 1.0;
        self.tokens.level -= charged_tokens;
        Ok(TokenCharge {
            prompt_tokens,
            max_output_tokens,
            charged_tokens,
        })
    }

    /// Settles a charge with what was used.
    pub fn settle(&mut self, charge: TokenCharge, prompt_tokens: u64, output_tokens: u64) {
        let used_tokens = prompt_tokens as f64 + output_tokens as f64;
        self.tokens.level += charge.charged_tokens - used_tokens;
        if charge.max_output_tokens > 0 {
            let share = output_tokens as f64 / charge.max_output_tokens as f64;
            let weight = OUTPUT_SHARE_WEIGHT;
            self.output_share = (1.0 - weight) * self.output_share + weight * share.min(1.0);
        }
    }

    /// Gives back the charge of a request that wasn't run.
    pub fn refund(&mut self, charge: TokenCharge) {
        self.requests.level += 1.0;
        self.tokens.level += charge.charged_tokens;
    }

    fn refill(&mut self, now: Instant) {
        let (requests, tokens) = self.host_shares(now);
        self.requests.refill(now, requests);
        self.tokens.refill(now, tokens);
    }

    fn host_shares(&self, now: Instant) -> (LimitShare, LimitShare) {
        let offered = self.offered(now);
        let burst = self.limits.burst_seconds;
        let host_share = |local_demand, other_hosts| self.host_share(local_demand, other_hosts);
        (
            LimitShare::new(
                self.limits.requests_per_second,
                burst,
                host_share(offered.requests, self.other_hosts.requests),
            ),
            LimitShare::new(
                self.limits.tokens_per_second,
                burst,
                host_share(offered.tokens, self.other_hosts.tokens),
            ),
        )
    }

    /// Without demand anywhere, all hosts have equal parts.
    fn host_share(&self, local_demand: f64, other_hosts: f64) -> f64 {
        match local_demand + other_hosts > 0.0 {
            true => local_demand / (local_demand + other_hosts),
            false => 1.0 / f64::from(self.hosts.max(1)),
        }
    }
}
