//! Where an answer stands: which token the caller gets next.
//!
//! An answer may be pieced together from several attempts. The cursor is the
//! only judge of what is delivered: the token whose index is next, nothing
//! twice, nothing out of order, nothing after a gap.

/// What is to be done with a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CursorStep {
    /// It is the next one.
    Deliver,
    /// The caller already has it.
    Drop,
    /// Tokens before it are missing; the attempt can't be trusted.
    Gap,
}

/// Position in one answer.
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

    /// Starts another attempt, which was asked to go on after the tokens
    /// delivered so far.
    pub fn start_attempt(&mut self) {
        self.attempt_position = self.delivered;
    }

    /// Judges the next token of the attempt. An engine that doesn't say the
    /// index is taken to send tokens in order.
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
