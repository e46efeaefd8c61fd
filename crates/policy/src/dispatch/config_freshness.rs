//! The configuration version in force, and how recently it was confirmed to be
//! the latest.
//!
//! Versions only increase. A linearizable read of the store confirms that a
//! version is the latest, and so does a peer that has the same version and a
//! confirmation of its own. A peer with an older version confirms nothing; a peer
//! with a newer version shows that this host has to read the store.
//!
//! A store that was restored from a copy may return an older version than the one in
//! force, until the operator has written the newer one again. Such a read confirms
//! nothing, and neither does a read of a version that is older than a peer's.

use super::{ConfigConfirmation, ConfigVersion, StalenessLimits};
use crate::Timestamp;
use std::cmp::Ordering;
use std::time::Duration;

/// A peer's configuration version and its confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerConfirmation {
    /// Version in force on the peer.
    pub version: ConfigVersion,
    /// Age of the peer's confirmation when it responded.
    pub age: Duration,
}

/// The effect of a peer's confirmation on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerConfirmationResult {
    /// The peer has the same version, which renewed the confirmation.
    Renewed,
    /// The peer has a newer version; this host has to read the store.
    Outdated,
    /// The peer has an older version, which confirms nothing.
    Ignored,
}

/// The configuration version in force and its confirmation.
#[derive(Clone, Copy, Debug)]
pub struct ConfigFreshness {
    version: Option<ConfigVersion>,
    /// Version that the store returned last.
    stored_version: Option<ConfigVersion>,
    /// Highest version that a peer has in force.
    peer_version: Option<ConfigVersion>,
    has_peer_response: bool,
    confirmation: ConfigConfirmation,
}

impl ConfigFreshness {
    /// Creates the state of a host that has no configuration yet.
    pub fn new(limits: StalenessLimits) -> Self {
        Self {
            version: None,
            stored_version: None,
            peer_version: None,
            has_peer_response: false,
            confirmation: ConfigConfirmation::new(limits),
        }
    }

    /// Replaces the staleness bounds.
    pub fn set_limits(&mut self, limits: StalenessLimits) {
        self.confirmation.set_limits(limits);
    }

    /// Returns the confirmation that the configuration is current. The version in force
    /// contains every change that was acknowledged longer ago than the confirmation's
    /// age.
    ///
    /// [`ConfigFreshness::accept`] does not change the confirmation. After a watch has
    /// delivered a newer version, the confirmation is still the one recorded for a
    /// previous version.
    pub fn confirmation(&self) -> ConfigConfirmation {
        self.confirmation
    }

    /// Returns whether a peer has responded to a query of this process.
    pub fn has_peer_response(&self) -> bool {
        self.has_peer_response
    }

    /// Records that the store returned `version`, and puts it into force if it is newer
    /// than the current one. Returns whether it is. The confirmation stays as it is.
    pub fn accept(&mut self, version: ConfigVersion) -> bool {
        self.stored_version = Some(version);
        let is_newer = Some(version) > self.version;
        if is_newer {
            self.version = Some(version);
        }
        is_newer
    }

    /// Records that the store has no configuration.
    pub fn record_absence(&mut self) {
        self.stored_version = None;
    }

    /// Records the response to a linearizable read that was sent at `sent_at`. The
    /// version that it returned must have been passed to [`ConfigFreshness::accept`]
    /// before. Returns whether the read confirms the version in force, which it
    /// doesn't if the store or a peer shows that a read missed a newer version.
    pub fn record_linearizable_read(&mut self, sent_at: Timestamp) -> bool {
        let is_latest = self.stored_version >= self.version && self.version >= self.peer_version;
        if is_latest {
            self.confirmation.renew(sent_at);
        }
        is_latest
    }

    /// Returns this host's response to a peer's query; `None` without a
    /// configuration or a confirmation.
    pub fn local_confirmation(&self, now: Timestamp) -> Option<PeerConfirmation> {
        Some(PeerConfirmation {
            version: self.version?,
            age: self.confirmation.age(now)?,
        })
    }

    /// Records the response of a peer that was queried at `queried_at`.
    pub fn record_peer_confirmation(
        &mut self,
        queried_at: Timestamp,
        peer: PeerConfirmation,
    ) -> PeerConfirmationResult {
        self.has_peer_response = true;
        self.peer_version = self.peer_version.max(Some(peer.version));
        match Some(peer.version).cmp(&self.version) {
            Ordering::Equal => {
                self.confirmation.renew_from_peer(queried_at, peer.age);
                PeerConfirmationResult::Renewed
            }
            Ordering::Greater => PeerConfirmationResult::Outdated,
            Ordering::Less => PeerConfirmationResult::Ignored,
        }
    }
}
