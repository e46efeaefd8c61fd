//! Where a quarantine is in force.

use super::probation::first_probe_delay;
use super::{ServiceVersion, SuspectKey};
use std::time::Duration;

/// Largest number of services that a scope names on either side.
const MAX_SERVICES: usize = 3;

/// Stands for a service in messages and stored objects if none is known.
pub const UNKNOWN_SERVICE: u32 = 0;

/// The services at which a quarantined suspect crashed upstreams, and those at which it is sound.
///
/// A quarantine is in force at all services but the sound ones, at those too that are new since
/// the decision: what crashes upstreams may crash those of other services as well.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineScope {
    /// The software that crashed; empty if it isn't known.
    crashed: Vec<ServiceVersion>,
    /// Hashes of the names of services at which the suspect has succeeded since its first crash
    /// and hasn't crashed upstreams.
    sound: Vec<u32>,
}

/// What a success after the decision says of a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Judgement {
    /// The suspect is sound where it was blamed.
    Refuted,
    /// It is sound at a service where it wasn't blamed.
    SoundThere,
    /// Nothing: versions of a service differ.
    Nothing,
}

impl QuarantineScope {
    /// Creates a scope from the hashes that messages and stored objects contain.
    pub fn from_services(crashed: &[u32], sound: &[u32]) -> Self {
        let unknown = |service: &u32| ServiceVersion {
            service: *service,
            version: None,
        };
        let crashed = crashed
            .iter()
            .filter(|service| **service != UNKNOWN_SERVICE);
        Self::new(crashed.map(unknown).collect(), sound.to_vec())
    }

    pub(super) fn new(mut crashed: Vec<ServiceVersion>, mut sound: Vec<u32>) -> Self {
        sound.sort_unstable();
        sound.dedup();
        sound.retain(|service| crashed.iter().all(|one| one.service != *service));
        sound.truncate(MAX_SERVICES);
        crashed.truncate(MAX_SERVICES);
        Self { crashed, sound }
    }

    /// Returns the software that crashed, as far as known.
    pub(super) fn crashed(&self) -> &[ServiceVersion] {
        &self.crashed
    }

    /// Returns the hashes of the services at which the suspect crashed upstreams.
    pub fn crashed_services(&self) -> Vec<u32> {
        let mut services: Vec<u32> = self.crashed.iter().map(|one| one.service).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Returns the hashes of the services at which the quarantine isn't in force.
    pub fn sound_services(&self) -> &[u32] {
        &self.sound
    }

    /// Returns whether the quarantine is in force at a service.
    pub(super) fn holds_at(&self, service: u32) -> bool {
        !self.sound.contains(&service)
    }

    /// Returns whether both suspects crashed upstreams of a service.
    pub(super) fn meets(&self, other: &Self) -> bool {
        let crashed_there = |one: &ServiceVersion| other.has_crashed(one.service);
        self.crashed.is_empty()
            || other.crashed.is_empty()
            || self.crashed.iter().any(crashed_there)
    }

    /// Adds what another host told of the same quarantine.
    pub(super) fn join(&mut self, told: &Self) {
        told.crashed
            .iter()
            .for_each(|origin| self.add_crashed(*origin));
        told.sound.iter().for_each(|service| {
            self.add_sound(*service);
        });
    }

    /// Returns what a success says that came `age` after the decision on `key`. Once only
    /// probes run, a success counts for the whole service: the version that crashed may be gone.
    pub(super) fn judge(
        &self,
        key: SuspectKey,
        origin: ServiceVersion,
        age: Duration,
    ) -> Judgement {
        let is_blamed = self.crashed.iter().any(|one| one.may_be(origin));
        match self.has_crashed(origin.service) {
            _ if self.crashed.is_empty() || is_blamed => Judgement::Refuted,
            true if age >= first_probe_delay(key.kind) => Judgement::Refuted,
            true => Judgement::Nothing,
            false => Judgement::SoundThere,
        }
    }

    /// Returns whether a success that came `age` after the decision on `key` refutes it.
    pub(super) fn is_refuted_by(
        &self,
        key: SuspectKey,
        origin: ServiceVersion,
        age: Duration,
    ) -> bool {
        self.judge(key, origin, age) == Judgement::Refuted
    }

    /// Records that the suspect is sound at a service; returns whether this is new.
    pub(super) fn add_sound(&mut self, service: u32) -> bool {
        let is_new = !self.sound.contains(&service)
            && !self.has_crashed(service)
            && self.sound.len() < MAX_SERVICES;
        if is_new {
            self.sound.push(service);
        }
        is_new
    }

    /// Records a crash after the decision.
    pub(super) fn add_crashed(&mut self, origin: ServiceVersion) {
        self.sound.retain(|service| *service != origin.service);
        let is_known = self.crashed.iter().any(|one| one.may_be(origin));
        if !is_known && self.crashed.len() < MAX_SERVICES {
            self.crashed.push(origin);
        }
    }

    /// Returns whether the suspect crashed upstreams of a service.
    pub(super) fn has_crashed(&self, service: u32) -> bool {
        self.crashed.iter().any(|one| one.service == service)
    }
}
