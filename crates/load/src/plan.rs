//! What load is sent, and where.

use std::net::SocketAddr;
use std::time::Duration;

/// Where load goes.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    /// The address that speaks the chat-completions protocol.
    pub address: SocketAddr,
    /// The caller's key, if one is needed.
    pub key: Option<String>,
    /// The model that is asked for.
    pub model: String,
}

/// How much load is sent.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Seed of arrival times and prompts.
    pub seed: u64,
    /// Requests a second, on average.
    pub requests_per_second: f64,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Words in each prompt.
    pub prompt_tokens: u64,
    /// Tokens in each answer.
    pub output_tokens: u64,
    /// Time after which an answer counts as lost.
    pub timeout: Duration,
}

impl LoadPlan {
    /// Creates a plan with short prompts and a minute's timeout.
    pub fn new(seed: u64, requests_per_second: f64, duration: Duration) -> Self {
        Self {
            seed,
            requests_per_second,
            duration,
            prompt_tokens: 64,
            output_tokens: 32,
            timeout: Duration::from_secs(60),
        }
    }

    /// Sets the tokens in each answer.
    #[must_use]
    pub fn with_output_tokens(mut self, tokens: u64) -> Self {
        self.output_tokens = tokens;
        self
    }

    /// Sets the words in each prompt.
    #[must_use]
    pub fn with_prompt_tokens(mut self, tokens: u64) -> Self {
        self.prompt_tokens = tokens;
        self
    }
}
