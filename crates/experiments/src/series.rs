//! Time series of a run, for plots and for finding the cause of a result.

use serde::{Deserialize, Serialize};

/// State of a run at the start of an interval, and the load of the interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SeriesPoint {
    /// Start of the interval, in seconds from the start of the run.
    pub seconds: u64,
    /// Serving prefill engines of the large pool.
    pub prefill_engines: u32,
    /// Serving decode and mixed engines of the large pool.
    pub decode_engines: u32,
    /// Engines of the large pool that change their role or drain.
    #[serde(rename = "away_engines")]
    pub unavailable_engines: u32,
    /// Prompt tokens waiting for prefill at entry hosts and in engines of the
    /// large pool.
    pub waiting_prompt_tokens: u64,
    /// Active streams in engines of the large pool.
    pub streams: u32,
    /// Pieces of 2,000 tokens in the requests that arrived in the interval.
    pub offered_pieces: f64,
    /// Those of these pieces whose requests completed by their deadline.
    pub goodput_pieces: f64,
}
