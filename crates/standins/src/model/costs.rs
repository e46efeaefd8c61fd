//! What a step of an engine costs.

use lagoonlift_types::TOKENS_PER_PIECE;
use std::time::Duration;

/// Speeds and sizes of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCosts {
    /// Time to read a piece of 2,000 prompt tokens.
    pub prefill_per_piece: Duration,
    /// Time of one decode iteration, however many streams there are.
    pub decode_base_time: Duration,
    /// Time that each stream adds to a decode iteration.
    pub decode_per_stream: Duration,
    /// Factor by which a step is slower when it both reads and generates.
    pub interference: f64,
    /// Most prompt tokens read in a step without streams.
    pub chunk_tokens: u64,
    /// Most prompt tokens read in a step that also generates.
    pub mixed_chunk_tokens: u64,
    /// Tokens that each stream generates in a step that reads nothing.
    pub iterations_per_step: u64,
    /// Most streams that generate at once.
    pub batch_limit: usize,
    /// Most jobs that wait in the engine.
    pub queue_limit: usize,
    /// KV memory for work in hand, in tokens.
    pub kv_capacity_tokens: u64,
    /// KV memory for the prefix cache, in tokens.
    pub cache_capacity_tokens: u64,
    /// Time that a role change takes once the engine is idle.
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
    /// Returns how long a step takes that reads `chunk_tokens` and generates
    /// `iterations` tokens for each of `streams` streams.
    pub fn step_duration(&self, chunk_tokens: u64, streams: usize, iterations: u64) -> Duration {
        let pieces = chunk_tokens as f64 / TOKENS_PER_PIECE as f64;
        let read = self.prefill_per_piece.mul_f64(pieces);
        let iteration = self.decode_base_time + self.decode_per_stream * streams as u32;
        let generate = iteration * iterations as u32;
        match chunk_tokens > 0 && iterations > 0 {
            true => (read + generate).mul_f64(self.interference),
            false => read + generate,
        }
    }
}
