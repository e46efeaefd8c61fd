//! The limits of one workspace at one host.
//!
//! A limit applies to all hosts together. Each host admits its share of the
//! limit: the ratio of its own demand to the demand at all hosts. When traffic
//! moves, the shares move with it, and they always sum to one. No request waits
//! for another host.
//!
//! The number of output tokens is known only at the end, so a request is
//! charged its expected output, and the difference is settled when it ends.

use lagoonlift_types::Limits;
use std::time::Duration;
use tokio::time::Instant;

/// Number of requests over which demand is averaged. A higher rate needs a
/// shorter averaging time, because its changes become certain sooner.
const AVERAGING_REQUESTS: f64 = 20.0;

/// Minimum time over which demand is averaged, in seconds.
const MIN_AVERAGING_SECONDS: f64 = 0.1;

/// Maximum time over which demand is averaged, in seconds.
const MAX_AVERAGING_SECONDS: f64 = 2.0;

/// Demand below this rate is reported as zero, in requests per second.
const MIN_REPORTED_REQUESTS_PER_SECOND: f64 = 0.01;

/// Initial estimate of the share of its maximum output that a response uses.
const INITIAL_OUTPUT_SHARE: f64 = 0.5;

/// Weight of the latest response in the estimated output share.
const OUTPUT_SHARE_WEIGHT: f64 = 0.05;

/// Measures demand, averaged over the most recent requests.
#[derive(Clone, Copy, Debug)]
struct DemandMeter {
    demand: WorkspaceDemand,
    updated_at: Instant,
}

impl DemandMeter {
    fn new(updated_at: Instant) -> Self {
        let demand = WorkspaceDemand::default();
        Self { demand, updated_at }
    }

    fn averaging_seconds(&self) -> f64 {
        (AVERAGING_REQUESTS / self.demand.requests)
            .clamp(MIN_AVERAGING_SECONDS, MAX_AVERAGING_SECONDS)
    }

    fn demand(&self, now: Instant) -> WorkspaceDemand {
        let elapsed_seconds = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = (-elapsed_seconds / self.averaging_seconds()).exp();
        WorkspaceDemand {
            requests: self.demand.requests * decay,
            tokens: self.demand.tokens * decay,
        }
    }

    fn add(&mut self, now: Instant, tokens: f64) {
        let averaging_seconds = self.averaging_seconds();
        self.demand = self.demand(now);
        self.demand.requests += 1.0 / averaging_seconds;
        self.demand.tokens += tokens / averaging_seconds;
        self.updated_at = now;
    }
}

/// A bucket of the token-bucket algorithm, whose rate and capacity change with
/// the host's share. Its unit is requests or model tokens, depending on the
/// limit.
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

/// A host's share of one limit: rate per second and bucket capacity.
#[derive(Clone, Copy, Debug)]
struct LimitShare {
    rate: f64,
    capacity: f64,
}

impl LimitShare {
    fn new(limit: f64, burst_seconds: f64, host_share: f64) -> Self {
        let rate = limit * host_share;
        // The capacity is at least one request or one model token, or a small
        // share would admit nothing. A charge of model tokens may exceed the
        // capacity.
        let capacity = (rate * burst_seconds).max(1.0);
        Self { rate, capacity }
    }

    /// Returns the time until a bucket at `level` holds `needed`.
    fn retry_after(&self, level: f64, needed: f64) -> Duration {
        match self.rate > 0.0 {
            true => Duration::from_secs_f64(
                ((needed - level) / self.rate).clamp(0.0, MAX_RETRY_AFTER_SECONDS),
            ),
            false => Duration::from_secs_f64(MAX_RETRY_AFTER_SECONDS),
        }
    }
}

/// Time after the first request in which a host takes an equal share if it knows of no
/// demand elsewhere: the others may have begun at the same time, and their first reports are
/// on the way.
const FIRST_EXCHANGE_TIME: Duration = Duration::from_millis(300);

/// Maximum `Retry-After` value, in seconds.
const MAX_RETRY_AFTER_SECONDS: f64 = 60.0;

/// Demand on the limits, admitted or not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceDemand {
    /// Requests per second.
    pub requests: f64,
    /// Model tokens per second, as charged.
    pub tokens: f64,
}

/// The model tokens charged for a request, settled when it ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenCharge {
    prompt_tokens: u64,
    max_output_tokens: u64,
    charged_tokens: f64,
}

/// The limits of one workspace at one host.
#[derive(Clone, Copy, Debug)]
pub struct WorkspaceLimiter {
    limits: Limits,
    hosts: u32,
    other_hosts: WorkspaceDemand,
    meter: DemandMeter,
    /// Time of the first request since there was no demand.
    began_at: Instant,
    requests: ShareBucket,
    tokens: ShareBucket,
    output_share: f64,
}

impl WorkspaceLimiter {
    /// Creates the limiter of one of `hosts` hosts. Each host runs one entry
    /// process.
    pub fn new(now: Instant, limits: Limits, hosts: u32) -> Self {
        let host_share = 1.0 / f64::from(hosts.max(1));
        let burst = limits.burst_seconds;
        Self {
            limits,
            hosts,
            other_hosts: WorkspaceDemand::default(),
            meter: DemandMeter::new(now),
            began_at: now,
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

    /// Sets the total demand at all other hosts.
    pub fn set_other_hosts_demand(&mut self, now: Instant, other_hosts: WorkspaceDemand) {
        self.refill(now);
        self.other_hosts = other_hosts;
    }

    /// Returns the demand at this host, whether admitted or not.
    pub fn demand(&self, now: Instant) -> WorkspaceDemand {
        let demand = self.meter.demand(now);
        match demand.requests < MIN_REPORTED_REQUESTS_PER_SECOND {
            true => WorkspaceDemand::default(),
            false => demand,
        }
    }

    /// Admits a request and charges it.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before retrying if the limit is reached.
    pub fn admit(
        &mut self,
        now: Instant,
        prompt_tokens: u64,
        max_output_tokens: u64,
    ) -> Result<TokenCharge, Duration> {
        let charged_tokens = prompt_tokens as f64 + max_output_tokens as f64 * self.output_share;
        // Demand just after a request exceeds the mean demand, so the time before it is
        // credited first.
        self.refill(now);
        if self.demand(now).requests == 0.0 {
            self.began_at = now;
        }
        self.meter.add(now, charged_tokens);
        let (requests, tokens) = self.host_shares(now);
        // A charge may exceed the bucket's capacity, so the level only has to
        // be positive. The resulting debt delays later requests.
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

    /// Settles a charge with the tokens actually used.
    pub fn settle(&mut self, charge: TokenCharge, prompt_tokens: u64, output_tokens: u64) {
        let used_tokens = prompt_tokens as f64 + output_tokens as f64;
        self.tokens.level += charge.charged_tokens - used_tokens;
        if charge.max_output_tokens > 0 {
            let share = output_tokens as f64 / charge.max_output_tokens as f64;
            let weight = OUTPUT_SHARE_WEIGHT;
            self.output_share = (1.0 - weight) * self.output_share + weight * share.min(1.0);
        }
    }

    /// Refunds the charge of a request that didn't run.
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
        let local = self.demand(now);
        let burst = self.limits.burst_seconds;
        let has_just_begun = now.saturating_duration_since(self.began_at) < FIRST_EXCHANGE_TIME;
        let host_share = |local_demand, other_demand| match has_just_begun && other_demand == 0.0 {
            true => self.equal_share(),
            false => self.host_share(local_demand, other_demand),
        };
        (
            LimitShare::new(
                self.limits.requests_per_second,
                burst,
                host_share(local.requests, self.other_hosts.requests),
            ),
            LimitShare::new(
                self.limits.tokens_per_second,
                burst,
                host_share(local.tokens, self.other_hosts.tokens),
            ),
        )
    }

    /// Returns this host's share of a limit. Without any demand, all hosts have
    /// equal shares.
    fn host_share(&self, local_demand: f64, other_demand: f64) -> f64 {
        match local_demand + other_demand > 0.0 {
            true => local_demand / (local_demand + other_demand),
            false => self.equal_share(),
        }
    }

    fn equal_share(&self) -> f64 {
        1.0 / f64::from(self.hosts.max(1))
    }
}
