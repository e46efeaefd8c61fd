//! Durations and capacities of a simulated engine.

use lagoonlift_types::TOKENS_PER_PIECE;
use std::time::Duration;

/// Durations and capacities of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCosts {
    /// Time to prefill a piece of 2,000 prompt tokens.
    pub prefill_per_piece: Duration,
    /// Part of a decode iteration's duration that is independent of the number of
    /// streams.
    pub decode_base_time: Duration,
    /// Duration that each stream adds to a decode iteration.
    pub decode_per_stream: Duration,
    /// Factor by which a step takes longer when it both prefills and decodes.
    pub interference: f64,
    /// Maximum number of prompt tokens prefilled in a step without streams.
    pub chunk_tokens: u64,
    /// Maximum number of prompt tokens prefilled in a step that also decodes.
    pub mixed_chunk_tokens: u64,
    /// Number of tokens that each stream generates in a step without prefill.
    pub iterations_per_step: u64,
    /// Maximum number of streams decoded in one batch.
    pub batch_limit: usize,
    /// Maximum number of jobs in the engine's queue.
    pub queue_limit: usize,
    /// KV memory for current jobs, in tokens.
    pub kv_capacity_tokens: u64,
    /// KV memory for the prefix cache, in tokens.
    pub cache_capacity_tokens: u64,
    /// Duration of a role change once the engine is idle.
    pub role_change_duration: Duration,
}

impl Default for EngineCosts {
    fn default() -> Self {
        Self {
            prefill_per_piece: Duration::from_millis(200),
            decode_base_time: Duration::from_millis(25),
            decode_per_stream: Duration::from_micros(300),
            interference: 1.25,
            chunk_tokens: TOKENS_PER_PIECE,
            mixed_chunk_tokens: 512,
            iterations_per_step: 4,
            batch_limit: 64,
            queue_limit: 128,
            kv_capacity_tokens: 400_000,
            cache_capacity_tokens: 40_000,
            role_change_duration: Duration::from_secs(4),
        }
    }
}

impl EngineCosts {
    /// Returns the duration of a step that prefills `chunk_tokens` prompt tokens and
    /// generates `iterations` tokens for each of `streams` streams.
    pub fn step_duration(&self, chunk_tokens: u64, streams: usize, iterations: u64) -> Duration {
        let pieces = chunk_tokens as f64 / TOKENS_PER_PIECE as f64;
        let prefill = self.prefill_per_piece.mul_f64(pieces);
        let iteration = self.decode_base_time + self.decode_per_stream * streams as u32;
        let decode = iteration * iterations as u32;
        match chunk_tokens > 0 && iterations > 0 {
            true => (prefill + decode).mul_f64(self.interference),
            false => prefill + decode,
        }
    }
}
