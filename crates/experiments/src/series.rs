//! What a run looked like over time; kept for plots and for finding causes.

use serde::{Deserialize, Serialize};

/// One interval of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SeriesPoint {
    /// Start of the interval, in seconds from the start of the run.
    pub seconds: u64,
    /// Serving engines of the large pool that read prompts.
    pub prefill_engines: u32,
    /// Serving engines of the large pool that generate.
    pub decode_engines: u32,
    /// Engines of the large pool that are away.
    pub away_engines: u32,
    /// Prompt tokens that wait at entry hosts and in engines.
    pub waiting_prompt_tokens: u64,
    /// Streams in engines.
    pub streams: u32,
    /// Pieces of the requests that arrived in the interval.
    pub offered_pieces: f64,
    /// Those of them that were answered by their deadline.
    pub goodput_pieces: f64,
}
