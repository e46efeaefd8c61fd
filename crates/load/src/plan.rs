//! The load to send and its target.

use std::net::SocketAddr;
use std::time::Duration;

/// The target of the load.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    /// Address of a server of the chat-completions protocol.
    pub address: SocketAddr,
    /// Bearer key of the caller, if the server needs one.
    pub key: Option<String>,
    /// Model named in the requests.
    pub model: String,
}

/// The amount and shape of the load.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Seed of the send times and prompts.
    pub seed: u64,
    /// Average number of requests per second.
    pub requests_per_second: f64,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Number of words in each prompt; the engine stand-in counts a word as a token.
    pub prompt_tokens: u64,
    /// Number of tokens requested in each response.
    pub output_tokens: u64,
    /// Time after which a request is abandoned.
    pub timeout: Duration,
}

impl LoadPlan {
    /// Creates a plan with prompts of 64 words, 32 output tokens and a timeout of one
    /// minute.
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

    /// Sets the number of tokens requested in each response.
    #[must_use]
    pub fn with_output_tokens(mut self, tokens: u64) -> Self {
        self.output_tokens = tokens;
        self
    }

    /// Sets the number of words in each prompt.
    #[must_use]
    pub fn with_prompt_tokens(mut self, tokens: u64) -> Self {
        self.prompt_tokens = tokens;
        self
    }
}
