//! Requests of one seed, drawn before the run: an open loop.

use crate::deployment::{Deployment, RequestKind, WORKSPACE_DEMAND};
use crate::profile::{FLOODING_WORKSPACE, Profile, RUN_LENGTH, Variation};
use lagoonlift_policy::{EngineRates, PrefixHash, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Share of the large pool's work that is urgent.
const URGENT_UTILISATION: f64 = 0.08;
/// Work of the small pool, as a share of it.
const SMALL_POOL_UTILISATION: f64 = 0.35;
/// Share of the requests that share their prompt's beginning with others.
const PREFIX_SHARE: f64 = 0.5;
/// Share of such a prompt that is shared.
const PREFIX_LENGTH: f64 = 0.4;
/// Prefixes of one workspace.
const PREFIXES: u64 = 6;

/// One request before it is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Timestamp,
    pub(crate) workspace: usize,
    pub(crate) kind: RequestKind,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) prefix: Option<(PrefixHash, u64)>,
    /// Where the platform's balancer sends it, reduced modulo the hosts.
    pub(crate) balance: usize,
}

impl Arrival {
    /// Returns the work in engine-seconds, prefill and decode.
    pub(crate) fn work(&self, rates: EngineRates) -> (f64, f64) {
        (
            self.prompt_tokens as f64 / rates.prefill_tokens_per_second,
            self.output_tokens as f64 / rates.decode_tokens_per_second,
        )
    }
}

struct Generator {
    rng: SmallRng,
    rates: EngineRates,
    arrivals: Vec<Arrival>,
}

/// Draws all requests of a run.
pub(crate) fn draw(deployment: Deployment, profile: Profile, seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let variation = Variation {
        utilisation_factor: rng.random_range(0.95..1.05),
        share_offset: rng.random_range(-0.04..0.04),
        time_offset: rng.random_range(-15.0..15.0),
    };
    let mut generator = Generator {
        rng,
        rates: EngineRates::default(),
        arrivals: Vec::new(),
    };
    let kinds = deployment.kinds();
    let pool = deployment.large_pool() as f64;
    let small_pool = crate::deployment::DATA_CENTRES as f64;
    for second in 0..RUN_LENGTH.as_secs() {
        let intensity = profile.intensity(second as f64, variation);
        let prefill = intensity.utilisation * intensity.prefill_share * pool;
        let decode = intensity.utilisation * (1.0 - intensity.prefill_share) * pool;
        let urgent = URGENT_UTILISATION * pool / generator.mean_work(&kinds.urgent);
        let (urgent_prefill, urgent_decode) = generator.phases(&kinds.urgent);
        let pair = (&kinds.prompt_heavy, &kinds.output_heavy);
        let (prompt_heavy, output_heavy) = generator.rates_for(
            pair,
            prefill - urgent * urgent_prefill,
            decode - urgent * urgent_decode,
        );
        let once = SMALL_POOL_UTILISATION * small_pool / generator.mean_work(&kinds.once);
        generator.add(second, kinds.urgent, urgent, None);
        generator.add(second, kinds.prompt_heavy, prompt_heavy, None);
        generator.add(second, kinds.output_heavy, output_heavy, None);
        generator.add(second, kinds.once, once, None);
        let flood = intensity.flood * pool / 2.0;
        let (flood_prompt, flood_output) = generator.rates_for(pair, flood, flood);
        let flooding = Some(FLOODING_WORKSPACE);
        generator.add(second, kinds.prompt_heavy, flood_prompt, flooding);
        generator.add(second, kinds.output_heavy, flood_output, flooding);
    }
    generator.arrivals.sort_by_key(|arrival| arrival.at);
    generator.arrivals
}

impl Generator {
    /// Returns mean engine-seconds of prefill and decode.
    fn phases(&self, kind: &RequestKind) -> (f64, f64) {
        (
            kind.mean_prompt() / self.rates.prefill_tokens_per_second,
            kind.mean_output() / self.rates.decode_tokens_per_second,
        )
    }

    fn mean_work(&self, kind: &RequestKind) -> f64 {
        let (prefill, decode) = self.phases(kind);
        prefill + decode
    }

    /// Returns the rates of two kinds that together ask for the given work.
    fn rates_for(
        &self,
        (first, second): (&RequestKind, &RequestKind),
        prefill: f64,
        decode: f64,
    ) -> (f64, f64) {
        let (p1, d1) = self.phases(first);
        let (p2, d2) = self.phases(second);
        let determinant = p1 * d2 - p2 * d1;
        let first_rate = (prefill * d2 - decode * p2) / determinant;
        let second_rate = (decode * p1 - prefill * d1) / determinant;
        (first_rate.max(0.0), second_rate.max(0.0))
    }

    fn add(&mut self, second: u64, kind: RequestKind, rate: f64, workspace: Option<usize>) {
        if rate <= 0.0 {
            return;
        }
        let mut offset = self.gap(rate);
        while offset < 1.0 {
            let at = Timestamp(second * 1_000_000) + Duration::from_secs_f64(offset);
            let workspace = workspace.unwrap_or_else(|| self.workspace());
            let arrival = self.arrival(at, kind, workspace);
            self.arrivals.push(arrival);
            offset += self.gap(rate);
        }
    }

    fn gap(&mut self, rate: f64) -> f64 {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        -uniform.ln() / rate
    }

    fn workspace(&mut self) -> usize {
        let mut draw: f64 = self.rng.random_range(0.0..1.0);
        for (index, share) in WORKSPACE_DEMAND.iter().enumerate() {
            if draw < *share {
                return index;
            }
            draw -= share;
        }
        WORKSPACE_DEMAND.len() - 1
    }

    fn arrival(&mut self, at: Timestamp, kind: RequestKind, workspace: usize) -> Arrival {
        let prompt_tokens = self
            .rng
            .random_range(kind.prompt_tokens.0..=kind.prompt_tokens.1);
        let output_tokens = self
            .rng
            .random_range(kind.output_tokens.0..=kind.output_tokens.1);
        let prefix = self.rng.random_bool(PREFIX_SHARE).then(|| {
            let number = workspace as u64 * 100 + self.rng.random_range(0..PREFIXES);
            let tokens = (kind.mean_prompt() * PREFIX_LENGTH) as u64;
            let hash = number * 1_000_000 + kind.max_output_tokens;
            (PrefixHash(hash), tokens.min(prompt_tokens / 2))
        });
        Arrival {
            at,
            workspace,
            kind,
            prompt_tokens,
            output_tokens,
            prefix,
            balance: self.rng.random_range(0..usize::MAX),
        }
    }
}
