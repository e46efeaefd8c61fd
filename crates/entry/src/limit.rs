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
const DEMAND_EVENTS: f64 = 20.0;

/// Shortest time over which demand is averaged, in seconds.
const SHORTEST_SPAN: f64 = 0.1;

/// Longest time over which demand is averaged, in seconds.
const LONGEST_SPAN: f64 = 2.0;

/// Demand below which none is told, in requests a second.
const LEAST_DEMAND: f64 = 0.01;

/// Share of the maximum that an answer is expected to need at first.
const FIRST_OUTPUT_SHARE: f64 = 0.5;

/// Weight of the latest answer in the expected share.
const OUTPUT_SHARE_WEIGHT: f64 = 0.05;

/// The offered load, averaged over the last requests.
#[derive(Clone, Copy, Debug)]
struct LoadMeter {
    load: OfferedLoad,
    at: Instant,
}

impl LoadMeter {
    fn new(at: Instant) -> Self {
        let load = OfferedLoad::default();
        Self { load, at }
    }

    fn span(&self) -> f64 {
        (DEMAND_EVENTS / self.load.requests).clamp(SHORTEST_SPAN, LONGEST_SPAN)
    }

    fn load(&self, now: Instant) -> OfferedLoad {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let left = (-passed / self.span()).exp();
        OfferedLoad {
            requests: self.load.requests * left,
            tokens: self.load.tokens * left,
        }
    }

    fn add(&mut self, now: Instant, tokens: f64) {
        let span = self.span();
        self.load = self.load(now);
        self.load.requests += 1.0 / span;
        self.load.tokens += tokens / span;
        self.at = now;
    }
}

/// A token bucket whose rate and size change with the host's part.
#[derive(Clone, Copy, Debug)]
struct PartBucket {
    level: f64,
    at: Instant,
}

impl PartBucket {
    fn new(now: Instant, limit: LimitPart) -> Self {
        Self {
            level: limit.size,
            at: now,
        }
    }

    fn refill(&mut self, now: Instant, limit: LimitPart) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + limit.rate * passed).min(limit.size);
        self.at = now;
    }
}

/// A host's part of one limit.
#[derive(Clone, Copy, Debug)]
struct LimitPart {
    rate: f64,
    size: f64,
}

impl LimitPart {
    fn new(limit: f64, burst_seconds: f64, part: f64) -> Self {
        let rate = limit * part;
        // One request must fit, or a small part would let nothing through.
        let size = (rate * burst_seconds).max(1.0);
        Self { rate, size }
    }

    /// Returns when a bucket at `level` will let a request through.
    fn wait(&self, level: f64, needed: f64) -> Duration {
        match self.rate > 0.0 {
            true => {
                Duration::from_secs_f64(((needed - level) / self.rate).clamp(0.0, LONGEST_WAIT))
            }
            false => Duration::from_secs_f64(LONGEST_WAIT),
        }
    }
}

/// Longest time after which a caller is asked to come back, in seconds.
const LONGEST_WAIT: f64 = 60.0;

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
    charged: f64,
}

/// One workspace's limits at one host.
#[derive(Clone, Copy, Debug)]
pub struct WorkspaceLimiter {
    limits: Limits,
    hosts: u32,
    elsewhere: OfferedLoad,
    meter: LoadMeter,
    requests: PartBucket,
    tokens: PartBucket,
    output_share: f64,
}

impl WorkspaceLimiter {
    /// Creates the limiter of one of `hosts` hosts.
    pub fn new(now: Instant, limits: Limits, hosts: u32) -> Self {
        let part = 1.0 / f64::from(hosts.max(1));
        let burst = limits.burst_seconds;
        Self {
            limits,
            hosts,
            elsewhere: OfferedLoad::default(),
            meter: LoadMeter::new(now),
            requests: PartBucket::new(now, LimitPart::new(limits.requests_per_second, burst, part)),
            tokens: PartBucket::new(now, LimitPart::new(limits.tokens_per_second, burst, part)),
            output_share: FIRST_OUTPUT_SHARE,
        }
    }

    /// Replaces the limits and the number of hosts.
    pub fn update(&mut self, now: Instant, limits: Limits, hosts: u32) {
        self.refill(now);
        self.limits = limits;
        self.hosts = hosts;
    }

    /// Sets what is asked of the limits at all other hosts together.
    pub fn set_elsewhere(&mut self, now: Instant, elsewhere: OfferedLoad) {
        self.refill(now);
        self.elsewhere = elsewhere;
    }

    /// Returns what is asked of the limits here, let through or not.
    pub fn offered(&self, now: Instant) -> OfferedLoad {
        let load = self.meter.load(now);
        match load.requests < LEAST_DEMAND {
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
        let charged = prompt_tokens as f64 + max_output_tokens as f64 * self.output_share;
        self.meter.add(now, charged);
        self.refill(now);
        let (requests, tokens) = self.parts(now);
        // A charge may be larger than the bucket, so tokens need only be in
        // credit; the debt holds the next requests back.
        let has_tokens = charged == 0.0 || self.tokens.level > 0.0;
        let wait = match has_tokens {
            true => requests.wait(self.requests.level, 1.0),
            false => tokens.wait(self.tokens.level, 1.0),
        };
        if self.requests.level < 1.0 || !has_tokens {
            return Err(wait);
        }
        self.requests.level -= 1.0;
        self.tokens.level -= charged;
        Ok(TokenCharge {
            prompt_tokens,
            max_output_tokens,
            charged,
        })
    }

    /// Settles a charge with what was used.
    pub fn settle(&mut self, charge: TokenCharge, prompt_tokens: u64, output_tokens: u64) {
        let used = prompt_tokens as f64 + output_tokens as f64;
        self.tokens.level += charge.charged - used;
        if charge.max_output_tokens > 0 {
            let share = output_tokens as f64 / charge.max_output_tokens as f64;
            let weight = OUTPUT_SHARE_WEIGHT;
            self.output_share = (1.0 - weight) * self.output_share + weight * share.min(1.0);
        }
    }

    /// Gives back the charge of a request that wasn't run.
    pub fn refund(&mut self, charge: TokenCharge) {
        self.requests.level += 1.0;
        self.tokens.level += charge.charged;
    }

    fn refill(&mut self, now: Instant) {
        let (requests, tokens) = self.parts(now);
        self.requests.refill(now, requests);
        self.tokens.refill(now, tokens);
    }

    fn parts(&self, now: Instant) -> (LimitPart, LimitPart) {
        let offered = self.offered(now);
        let burst = self.limits.burst_seconds;
        let part = |here, elsewhere| self.part(here, elsewhere);
        (
            LimitPart::new(
                self.limits.requests_per_second,
                burst,
                part(offered.requests, self.elsewhere.requests),
            ),
            LimitPart::new(
                self.limits.tokens_per_second,
                burst,
                part(offered.tokens, self.elsewhere.tokens),
            ),
        )
    }

    /// Without demand anywhere, all hosts have equal parts.
    fn part(&self, here: f64, elsewhere: f64) -> f64 {
        match here + elsewhere > 0.0 {
            true => here / (here + elsewhere),
            false => 1.0 / f64::from(self.hosts.max(1)),
        }
    }
}
