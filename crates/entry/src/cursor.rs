//! Position in a response: which token the caller gets next.
//!
//! A response may consist of several attempts. The cursor alone decides what is
//! delivered: only the token with the next index, so that no token is delivered
//! twice, out of order or after a gap.

/// How to handle a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CursorStep {
    /// Deliver it: it is the next token.
    Deliver,
    /// Drop it: the caller already has it.
    Drop,
    /// Abandon the attempt: tokens before this one are missing.
    Gap,
}

/// Position in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCursor {
    delivered: u64,
    attempt_position: u64,
}

impl TokenCursor {
    /// Creates a cursor before the first token.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of tokens delivered.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Starts another attempt, which resumes after the tokens delivered so far.
    pub fn start_attempt(&mut self) {
        self.attempt_position = self.delivered;
    }

    /// Decides on the next token of the attempt. If the engine sends no
    /// `index`, tokens are assumed to arrive in order.
    pub fn accept(&mut self, index: Option<u64>) -> CursorStep {
        let index = index.unwrap_or(self.attempt_position);
        self.attempt_position = index.saturating_add(1);
        match index {
            _ if index < self.delivered => CursorStep::Drop,
            _ if index > self.delivered => CursorStep::Gap,
            _ => {
                self.delivered += 1;
                CursorStep::Deliver
            }
        }
    }
}
