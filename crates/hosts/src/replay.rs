//! Protection against replayed datagrams.
//!
//! The tag of a recorded datagram stays valid. Each sender therefore numbers
//! its datagrams. The receiver keeps the highest sequence number and a bitmap
//! of those shortly before it, and rejects numbers that it has seen or that are
//! too old to tell. Numbering restarts with each incarnation, and datagrams of
//! earlier incarnations are rejected.

use lagoonlift_types::{Incarnation, ProcessId};
use std::collections::HashMap;
use thiserror::Error;

/// How far a sequence number may lie behind the highest one.
const WINDOW_DATAGRAMS: u64 = 128;

/// Why the replay protection rejected a datagram.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ReplayError {
    /// The datagram is addressed to another incarnation, or was sent by an earlier
    /// incarnation of its sender or by this process itself.
    #[error(
        "the datagram is for another incarnation, from an earlier one, or from this process itself"
    )]
    WrongIncarnation,
    /// The sequence number was seen before, or is too old to tell.
    #[error("the datagram was received before or is too old")]
    Replayed,
}

/// Keeps track of the datagrams received from each sender.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<ProcessId, SenderWindow>,
}

#[derive(Clone, Copy, Debug)]
struct SenderWindow {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `n` stands for sequence number `highest - n`.
    seen: u128,
}

impl ReplayGuard {
    /// Creates a guard that has seen no datagrams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Accepts each datagram at most once.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram was accepted before or is too old to
    /// tell, or if a later incarnation of the sender is known.
    pub fn accept(
        &mut self,
        sender: &ProcessId,
        incarnation: Incarnation,
        sequence: u64,
    ) -> Result<(), ReplayError> {
        let new_window = SenderWindow {
            incarnation,
            highest: sequence,
            seen: 1,
        };
        let Some(window) = self.senders.get_mut(sender) else {
            self.senders.insert(sender.clone(), new_window);
            return Ok(());
        };
        match incarnation.cmp(&window.incarnation) {
            std::cmp::Ordering::Less => Err(ReplayError::WrongIncarnation),
            std::cmp::Ordering::Greater => {
                *window = new_window;
                Ok(())
            }
            std::cmp::Ordering::Equal => window.accept(sequence),
        }
    }

    /// Removes the senders for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ProcessId) -> bool) {
        self.senders.retain(|sender, _| keep(sender));
    }
}

impl SenderWindow {
    fn accept(&mut self, sequence: u64) -> Result<(), ReplayError> {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = match shift {
                0..WINDOW_DATAGRAMS => self.seen << shift | 1,
                _ => 1,
            };
            self.highest = sequence;
            return Ok(());
        }
        let distance = self.highest - sequence;
        if distance >= WINDOW_DATAGRAMS || self.seen >> distance & 1 == 1 {
            return Err(ReplayError::Replayed);
        }
        self.seen |= 1 << distance;
        Ok(())
    }
}
