//! Generates the requests of a seed before the run starts.
//!
//! The traffic is open-loop: arrivals don't depend on how earlier requests are
//! served.

use crate::deployment::{Deployment, RequestKind, WORKSPACE_DEMAND};
use crate::profile::{ARRIVAL_PERIOD, FLOODING_WORKSPACE, Profile, SeedVariation};
use lagoonlift_policy::{EngineRates, PrefixHash, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Urgent work of the large pool, as a share of its capacity.
const URGENT_UTILISATION: f64 = 0.08;
/// Work of the small pool, as a share of its capacity.
const SMALL_POOL_UTILISATION: f64 = 0.35;
/// Probability that a request's prompt begins with a shared prefix block.
const SHARED_PREFIX_PROBABILITY: f64 = 0.5;
/// Length of a shared prefix block, as a share of the mean prompt.
const SHARED_PREFIX_PROMPT_SHARE: f64 = 0.4;
/// Distinct shared prefix blocks of each workspace, for each kind of request.
const PREFIXES_PER_WORKSPACE: u64 = 6;

/// A generated request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Timestamp,
    pub(crate) workspace: usize,
    pub(crate) kind: RequestKind,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    /// The shared prefix block and its length in tokens.
    pub(crate) prefix: Option<(PrefixHash, u64)>,
    /// The platform load balancer's random draw; the entry host that receives
    /// the request is this number modulo the number of hosts.
    pub(crate) balancer_draw: usize,
}

impl Arrival {
    /// Returns the prefill and decode work, in engine-seconds.
    pub(crate) fn work(&self, rates: EngineRates) -> (f64, f64) {
        (
            self.prompt_tokens as f64 / rates.prefill_tokens_per_second,
            self.output_tokens as f64 / rates.decode_tokens_per_second,
        )
    }
}

struct TrafficGenerator {
    rng: SmallRng,
    rates: EngineRates,
    arrivals: Vec<Arrival>,
}

/// Generates all requests of a run, sorted by arrival time.
pub(crate) fn generate(deployment: Deployment, profile: Profile, seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let variation = SeedVariation {
        utilisation_factor: rng.random_range(0.95..1.05),
        prefill_share_offset: rng.random_range(-0.04..0.04),
        time_offset: rng.random_range(-15.0..15.0),
    };
    let mut generator = TrafficGenerator {
        rng,
        rates: EngineRates::default(),
        arrivals: Vec::new(),
    };
    let kinds = deployment.request_kinds();
    let large_pool_capacity = deployment.large_pool_size() as f64;
    let small_pool_capacity = crate::deployment::DATA_CENTRES as f64;
    for second in 0..ARRIVAL_PERIOD.as_secs() {
        let offered_load = profile.offered_load(second as f64, variation);
        let prefill_work =
            offered_load.utilisation * offered_load.prefill_share * large_pool_capacity;
        let decode_work =
            offered_load.utilisation * (1.0 - offered_load.prefill_share) * large_pool_capacity;
        let urgent_rate =
            URGENT_UTILISATION * large_pool_capacity / generator.mean_work_seconds(&kinds.urgent);
        let (urgent_prefill_seconds, urgent_decode_seconds) =
            generator.mean_phase_seconds(&kinds.urgent);
        let large_pool_kinds = (&kinds.prompt_heavy, &kinds.output_heavy);
        let (prompt_heavy_rate, output_heavy_rate) = generator.solve_request_rates(
            large_pool_kinds,
            prefill_work - urgent_rate * urgent_prefill_seconds,
            decode_work - urgent_rate * urgent_decode_seconds,
        );
        let non_idempotent_rate = SMALL_POOL_UTILISATION * small_pool_capacity
            / generator.mean_work_seconds(&kinds.non_idempotent);
        generator.add_arrivals(second, kinds.urgent, urgent_rate, None);
        generator.add_arrivals(second, kinds.prompt_heavy, prompt_heavy_rate, None);
        generator.add_arrivals(second, kinds.output_heavy, output_heavy_rate, None);
        generator.add_arrivals(second, kinds.non_idempotent, non_idempotent_rate, None);
        let flood_phase_work = offered_load.flood * large_pool_capacity / 2.0;
        let (flood_prompt_heavy_rate, flood_output_heavy_rate) =
            generator.solve_request_rates(large_pool_kinds, flood_phase_work, flood_phase_work);
        let flooding_workspace = Some(FLOODING_WORKSPACE);
        generator.add_arrivals(
            second,
            kinds.prompt_heavy,
            flood_prompt_heavy_rate,
            flooding_workspace,
        );
        generator.add_arrivals(
            second,
            kinds.output_heavy,
            flood_output_heavy_rate,
            flooding_workspace,
        );
    }
    generator.arrivals.sort_by_key(|arrival| arrival.at);
    generator.arrivals
}

impl TrafficGenerator {
    /// Returns the mean prefill and decode work of a request, in
    /// engine-seconds.
    fn mean_phase_seconds(&self, kind: &RequestKind) -> (f64, f64) {
        (
            kind.mean_prompt_tokens() / self.rates.prefill_tokens_per_second,
            kind.mean_output_tokens() / self.rates.decode_tokens_per_second,
        )
    }

    fn mean_work_seconds(&self, kind: &RequestKind) -> f64 {
        let (prefill, decode) = self.mean_phase_seconds(kind);
        prefill + decode
    }

    /// Returns the request rates of two kinds that together offer the given
    /// prefill and decode work per second; a rate that would be negative is 0.
    fn solve_request_rates(
        &self,
        (first, second): (&RequestKind, &RequestKind),
        prefill: f64,
        decode: f64,
    ) -> (f64, f64) {
        let (first_prefill, first_decode) = self.mean_phase_seconds(first);
        let (second_prefill, second_decode) = self.mean_phase_seconds(second);
        let determinant = first_prefill * second_decode - second_prefill * first_decode;
        let first_rate = (prefill * second_decode - decode * second_prefill) / determinant;
        let second_rate = (decode * first_prefill - prefill * first_decode) / determinant;
        (first_rate.max(0.0), second_rate.max(0.0))
    }

    fn add_arrivals(
        &mut self,
        second: u64,
        kind: RequestKind,
        rate: f64,
        workspace: Option<usize>,
    ) {
        if rate <= 0.0 {
            return;
        }
        let mut arrival_offset = self.draw_interarrival_seconds(rate);
        while arrival_offset < 1.0 {
            let at = Timestamp(second * 1_000_000) + Duration::from_secs_f64(arrival_offset);
            let workspace = workspace.unwrap_or_else(|| self.draw_workspace());
            let arrival = self.draw_arrival(at, kind, workspace);
            self.arrivals.push(arrival);
            arrival_offset += self.draw_interarrival_seconds(rate);
        }
    }

    fn draw_interarrival_seconds(&mut self, rate: f64) -> f64 {
        let uniform_draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        -uniform_draw.ln() / rate
    }

    fn draw_workspace(&mut self) -> usize {
        let mut remaining_draw: f64 = self.rng.random_range(0.0..1.0);
        for (index, share) in WORKSPACE_DEMAND.iter().enumerate() {
            if remaining_draw < *share {
                return index;
            }
            remaining_draw -= share;
        }
        WORKSPACE_DEMAND.len() - 1
    }

    fn draw_arrival(&mut self, at: Timestamp, kind: RequestKind, workspace: usize) -> Arrival {
        let prompt_tokens = self
            .rng
            .random_range(kind.prompt_tokens.0..=kind.prompt_tokens.1);
        let output_tokens = self
            .rng
            .random_range(kind.output_tokens.0..=kind.output_tokens.1);
        let prefix = self.rng.random_bool(SHARED_PREFIX_PROBABILITY).then(|| {
            let prefix_number =
                workspace as u64 * 100 + self.rng.random_range(0..PREFIXES_PER_WORKSPACE);
            let tokens = (kind.mean_prompt_tokens() * SHARED_PREFIX_PROMPT_SHARE) as u64;
            let hash = prefix_number * 1_000_000 + kind.max_output_tokens;
            (PrefixHash(hash), tokens.min(prompt_tokens / 2))
        });
        Arrival {
            at,
            workspace,
            kind,
            prompt_tokens,
            output_tokens,
            prefix,
            balancer_draw: self.rng.random_range(0..usize::MAX),
        }
    }
}
