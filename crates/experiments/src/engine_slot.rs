//! One engine of a run and what the world sees of it.

use crate::deployment::EnginePlace;
use lagoonlift_policy::{EngineFacts, EngineState, LoadReport, Timestamp, UpstreamFacts};
use lagoonlift_standins::model::{CacheFeed, DelayedFeed, EngineCosts, EngineModel};
use lagoonlift_types::{DataCentreName, Supply, UpstreamRole};
use std::collections::BTreeSet;
use std::time::Duration;

/// Price of a second of a reserved engine; all others relate to it.
const RESERVED_PRICE: f64 = 1.0;
/// Price of a second of a cheap engine.
const RECLAIMABLE_PRICE: f64 = 0.35;
/// Delay of cache events.
const CACHE_EVENT_DELAY: Duration = Duration::from_secs(2);
/// Share of the cache events that never come.
const CACHE_EVENT_LOSS: f64 = 0.1;

/// What an engine is doing, beside its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotState {
    Serving,
    /// Announced as draining; the order follows.
    Announced,
    Changing,
    Leaving,
    Gone,
}

/// One engine.
#[derive(Debug)]
pub(crate) struct EngineSlot {
    pub(crate) place: EnginePlace,
    pub(crate) model: EngineModel,
    pub(crate) state: SlotState,
    pub(crate) ordered: bool,
    /// The role that it has, or will have after the change in progress.
    pub(crate) next_role: UpstreamRole,
    pub(crate) loads: DelayedFeed<LoadReport>,
    pub(crate) cache_events: CacheFeed,
    /// When the step that is scheduled ends.
    pub(crate) scheduled: Option<Timestamp>,
    bought_at: Timestamp,
    gone_at: Option<Timestamp>,
}

impl EngineSlot {
    pub(crate) fn new(
        place: EnginePlace,
        costs: EngineCosts,
        now: Timestamp,
        report_delay: Duration,
        seed: u64,
        ordered: bool,
    ) -> Self {
        Self {
            model: EngineModel::new(costs, place.role),
            next_role: place.role,
            place,
            state: SlotState::Serving,
            ordered,
            loads: DelayedFeed::new(report_delay),
            cache_events: CacheFeed::new(CACHE_EVENT_DELAY, CACHE_EVENT_LOSS, seed),
            scheduled: None,
            bought_at: now,
            gone_at: None,
        }
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.state == SlotState::Gone
    }

    pub(crate) fn go(&mut self, now: Timestamp) {
        self.state = SlotState::Gone;
        self.gone_at = Some(now);
    }

    /// Returns what was paid for it by `end`.
    pub(crate) fn paid(&self, end: Timestamp) -> f64 {
        let until = self.gone_at.unwrap_or(end).min(end);
        let price = match self.place.supply {
            Supply::Reserved => RESERVED_PRICE,
            Supply::Reclaimable => RECLAIMABLE_PRICE,
        };
        until.since(self.bought_at).as_secs_f64() * price
    }

    pub(crate) fn upstream_facts(&self, data_centres: &[DataCentreName]) -> UpstreamFacts {
        UpstreamFacts {
            name: self.place.name.clone(),
            data_centre: data_centres[self.place.data_centre].clone(),
            models: BTreeSet::from([self.place.model.clone()]),
            role: Some(self.model.role()),
            supply: self.place.supply,
            accepts_work: self.state == SlotState::Serving,
        }
    }

    pub(crate) fn engine_facts(&self, data_centres: &[DataCentreName]) -> EngineFacts {
        EngineFacts {
            name: self.place.name.clone(),
            data_centre: data_centres[self.place.data_centre].clone(),
            model: self.place.model.clone(),
            loadable_models: BTreeSet::new(),
            role: self.model.role(),
            supply: self.place.supply,
            state: match self.state {
                SlotState::Serving => EngineState::Serving,
                SlotState::Announced | SlotState::Changing => EngineState::Changing,
                SlotState::Leaving => EngineState::Leaving,
                SlotState::Gone => EngineState::Unreachable,
            },
            is_purchased: self.ordered,
        }
    }
}
