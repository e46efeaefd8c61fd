//! Refusal of datagrams that were seen before.
//!
//! A recorded datagram carries a valid tag for ever. Each sender numbers its
//! datagrams; the receiver remembers the highest number and which of the ones
//! shortly before it arrived, and refuses the rest. Numbers start anew with an
//! incarnation, and earlier incarnations are refused whole.

use lagoonlift_types::{Incarnation, ProcessId};
use std::collections::HashMap;
use thiserror::Error;

/// How far behind the highest number a datagram may arrive.
const WINDOW: u64 = 128;

/// Why a datagram was refused.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ReplayError {
    /// A later incarnation of the sender is known.
    #[error("a later incarnation of the sender is known")]
    WrongIncarnation,
    /// Its number was seen, or lies too far back to tell.
    #[error("the datagram was seen before")]
    Replayed,
}

/// Remembers which datagrams of each sender were seen.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<ProcessId, SenderWindow>,
}

#[derive(Clone, Copy, Debug)]
struct SenderWindow {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `n` stands for `highest - n`.
    seen: u128,
}

impl ReplayGuard {
    /// Creates a guard that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Accepts a datagram once.
    ///
    /// # Errors
    ///
    /// Fails when the datagram was accepted before, or might have been.
    pub fn accept(
        &mut self,
        sender: &ProcessId,
        incarnation: Incarnation,
        sequence: u64,
    ) -> Result<(), ReplayError> {
        let fresh = SenderWindow {
            incarnation,
            highest: sequence,
            seen: 1,
        };
        let Some(window) = self.senders.get_mut(sender) else {
            self.senders.insert(sender.clone(), fresh);
            return Ok(());
        };
        match incarnation.cmp(&window.incarnation) {
            std::cmp::Ordering::Less => Err(ReplayError::WrongIncarnation),
            std::cmp::Ordering::Greater => {
                *window = fresh;
                Ok(())
            }
            std::cmp::Ordering::Equal => window.accept(sequence),
        }
    }

    /// Forgets senders for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ProcessId) -> bool) {
        self.senders.retain(|sender, _| keep(sender));
    }
}

impl SenderWindow {
    fn accept(&mut self, sequence: u64) -> Result<(), ReplayError> {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = match shift {
                0..WINDOW => self.seen << shift | 1,
                _ => 1,
            };
            self.highest = sequence;
            return Ok(());
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW || self.seen >> behind & 1 == 1 {
            return Err(ReplayError::Replayed);
        }
        self.seen |= 1 << behind;
        Ok(())
    }
}
