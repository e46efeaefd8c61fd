//! Which version of the configuration is in force, and how surely it is the
//! newest.
//!
//! Versions only rise. The proof that one is the newest comes from exact reads of
//! the store, or from another host that has the very same version and a proof of
//! its own; a host with an older one proves nothing, a host with a newer one
//! shows that the store has to be read.

use super::{ConfigProof, ConfigVersion, ProofLimits};
use crate::Timestamp;
use std::cmp::Ordering;
use std::time::Duration;

/// What another host says of its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProof {
    /// The version that it has in force.
    pub version: ConfigVersion,
    /// Age of its proof when it answered.
    pub age: Duration,
}

/// What another host's proof shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProofResult {
    /// The own version is as sure as the other host's.
    Renewed,
    /// There is a newer version; the store has to be read.
    Outdated,
    /// The other host has an older version, which shows nothing.
    Ignored,
}

/// The version in force and its proof.
#[derive(Clone, Copy, Debug)]
pub struct ConfigCurrency {
    version: Option<ConfigVersion>,
    proof: ConfigProof,
}

impl ConfigCurrency {
    /// Creates the currency of a host that has no configuration.
    pub fn new(limits: ProofLimits) -> Self {
        Self {
            version: None,
            proof: ConfigProof::new(limits),
        }
    }

    /// Takes in changed limits.
    pub fn set_limits(&mut self, limits: ProofLimits) {
        self.proof.set_limits(limits);
    }

    /// Returns the proof.
    pub fn proof(&self) -> ConfigProof {
        self.proof
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
    pub fn note_exact_read(&mut self, sent_at: Timestamp) {
        self.proof.renew(sent_at);
    }

    /// Returns what this host tells another that asks.
    pub fn own_proof(&self, now: Timestamp) -> Option<PeerProof> {
        Some(PeerProof {
            version: self.version?,
            age: self.proof.age(now)?,
        })
    }

    /// Takes in the answer of a host that was asked at `asked_at`.
    pub fn take_peer_proof(&mut self, asked_at: Timestamp, peer: PeerProof) -> PeerProofResult {
        match Some(peer.version).cmp(&self.version) {
            Ordering::Equal => {
                self.proof.renew_from_peer(asked_at, peer.age);
                PeerProofResult::Renewed
            }
            Ordering::Greater => PeerProofResult::Outdated,
            Ordering::Less => PeerProofResult::Ignored,
        }
    }
}
