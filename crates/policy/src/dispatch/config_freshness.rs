//! Which version of the configuration is in force, and how surely it is the
//! newest.
//!
//! Versions only rise. The proof that one is the newest comes from exact reads of
//! the store, or from another host that has the very same version and a proof of
//! its own; a host with an older one proves nothing, a host with a newer one
//! shows that the store has to be read.

use super::{ConfigConfirmation, ConfigVersion, StalenessLimits};
use crate::Timestamp;
use std::cmp::Ordering;
use std::time::Duration;

/// What another host says of its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerConfirmation {
    /// The version that it has in force.
    pub version: ConfigVersion,
    /// Age of its proof when it answered.
    pub age: Duration,
}

/// What another host's proof shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerConfirmationResult {
    /// The own version is as sure as the other host's.
    Renewed,
    /// There is a newer version; the store has to be read.
    Outdated,
    /// The other host has an older version, which shows nothing.
    Ignored,
}

/// The version in force and its proof.
#[derive(Clone, Copy, Debug)]
pub struct ConfigFreshness {
    version: Option<ConfigVersion>,
    confirmation: ConfigConfirmation,
}

impl ConfigFreshness {
    /// Creates the currency of a host that has no configuration.
    pub fn new(limits: StalenessLimits) -> Self {
        Self {
            version: None,
            confirmation: ConfigConfirmation::new(limits),
        }
    }

    /// Takes in changed limits.
    pub fn set_limits(&mut self, limits: StalenessLimits) {
        self.confirmation.set_limits(limits);
    }

    /// Returns the proof.
    pub fn confirmation(&self) -> ConfigConfirmation {
        self.confirmation
    }

    /// Puts `version` into force; `false` if it isn't newer than the one in hand.
    pub fn accept(&mut self, version: ConfigVersion) -> bool {
        let is_newer = Some(version) > self.version;
        if is_newer {
            self.version = Some(version);
        }
        is_newer
    }

    /// Notes that an exact read sent at `sent_at` was answered, and that what it
    /// showed has been put into force.
    pub fn record_linearizable_read(&mut self, sent_at: Timestamp) {
        self.confirmation.renew(sent_at);
    }

    /// Returns what this host tells another that asks.
    pub fn local_confirmation(&self, now: Timestamp) -> Option<PeerConfirmation> {
        Some(PeerConfirmation {
            version: self.version?,
            age: self.confirmation.age(now)?,
        })
    }

    /// Takes in the answer of a host that was asked at `asked_at`.
    pub fn record_peer_confirmation(
        &mut self,
        asked_at: Timestamp,
        peer: PeerConfirmation,
    ) -> PeerConfirmationResult {
        match Some(peer.version).cmp(&self.version) {
            Ordering::Equal => {
                self.confirmation.renew_from_peer(asked_at, peer.age);
                PeerConfirmationResult::Renewed
            }
            Ordering::Greater => PeerConfirmationResult::Outdated,
            Ordering::Less => PeerConfirmationResult::Ignored,
        }
    }
}
