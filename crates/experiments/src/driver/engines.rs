//! Engines of a run: their steps, reports and role changes.

use crate::contender::Contender;
use crate::deployment::EnginePlace;
use crate::driver::{REPORT_DELAY, Run, VIEW_DELAY};
use crate::engine_slot::{EngineSlot, SlotState};
use crate::schedule::Occurrence;
use lagoonlift_policy::{AttemptEnd, EntryEvent};
use lagoonlift_standins::model::{EngineCosts, EngineEvent};
use lagoonlift_types::UpstreamRole;
use std::time::Duration;

impl Run {
    pub(super) fn add_engine(&mut self, mut place: EnginePlace, ordered: bool) {
        let mut costs = EngineCosts::default();
        let mut delay = REPORT_DELAY;
        if self.key.contender == Contender::Oracle {
            costs.interference = 1.0;
            delay = Duration::ZERO;
        }
        if self.key.contender == Contender::AllMixed {
            place.role = UpstreamRole::Mixed;
        }
        let seed = self.key.seed * 1_000 + self.engines.len() as u64;
        let mut slot = EngineSlot::new(place, costs, self.now, delay, seed, ordered);
        slot.loads.set_frozen(self.frozen);
        let facts = slot.upstream_facts(&self.data_centres);
        for host in &mut self.hosts {
            host.add_upstream(facts.clone());
        }
        self.fleet.add_engine(slot.engine_facts(&self.data_centres));
        self.engines.push(slot);
    }

    /// Shows an engine's state to the entry hosts.
    pub(super) fn show_engine(&mut self, engine: usize) {
        let facts = self.engines[engine].upstream_facts(&self.data_centres);
        for host in &mut self.hosts {
            host.update_upstream(engine, facts.clone());
        }
    }

    /// Makes sure that the end of an engine's step is scheduled.
    pub(super) fn schedule_engine(&mut self, engine: usize) {
        let slot = &mut self.engines[engine];
        let next = slot.model.next_event();
        if let Some(at) = next
            && slot.scheduled != next
        {
            slot.scheduled = next;
            self.schedule.add(at, Occurrence::EngineStep(engine));
        }
    }

    pub(super) fn advance_engine(&mut self, engine: usize) {
        let slot = &mut self.engines[engine];
        if slot.scheduled != Some(self.now) || slot.is_gone() {
            return;
        }
        slot.scheduled = None;
        let mut events = Vec::new();
        slot.model.advance(self.now, &mut events);
        for event in events {
            self.take_engine_event(engine, event);
        }
        self.schedule_engine(engine);
        self.finish_leaving(engine);
    }

    fn take_engine_event(&mut self, engine: usize, event: EngineEvent) {
        match event {
            EngineEvent::Prefilled { id } => self.finish_prompt(id as usize, engine),
            EngineEvent::FirstToken { id } => self.note_first_token(id as usize),
            EngineEvent::Completed { id } => {
                let output_tokens = self.arrivals[id as usize].output_tokens;
                self.requests[id as usize].completed_at = Some(self.now);
                self.requests[id as usize].on_cheap =
                    self.engines[engine].place.supply == lagoonlift_types::Supply::Reclaimable;
                self.end_attempt(id as usize, engine, AttemptEnd::Completed { output_tokens });
            }
            EngineEvent::CacheChanged { prefix, held } => {
                self.engines[engine]
                    .cache_events
                    .push(self.now, prefix, held);
            }
            EngineEvent::RoleChanged { .. } => {
                self.engines[engine].state = SlotState::Serving;
                self.schedule
                    .add(self.now + VIEW_DELAY, Occurrence::View(engine));
                self.fleet.order_finished(self.now, engine);
            }
        }
    }

    /// Pushes reports and delivers those that are visible by now.
    pub(super) fn report(&mut self) {
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            if engine.is_gone() {
                continue;
            }
            engine.loads.push(self.now, engine.model.load());
            while let Some((measured_at, report)) = engine.loads.pop(self.now) {
                self.fleet.loaded(self.now, index, measured_at, report);
                for (host, entry) in self.hosts.iter().enumerate() {
                    let upstream = entry.upstreams[index];
                    let event = EntryEvent::LoadReported {
                        upstream,
                        measured_at,
                        report,
                    };
                    self.inbox.push_back((host, event));
                }
            }
            while let Some((prefix, held)) = engine.cache_events.pop(self.now) {
                for (host, entry) in self.hosts.iter().enumerate() {
                    let upstream = entry.upstreams[index];
                    let event = EntryEvent::PrefixCacheChanged {
                        upstream,
                        prefix,
                        held,
                    };
                    self.inbox.push_back((host, event));
                }
            }
        }
    }

    /// Announces a role change; the order follows when entry hosts know of it.
    pub(super) fn announce_role(&mut self, engine: usize, role: UpstreamRole) {
        if self.engines[engine].state != SlotState::Serving {
            return;
        }
        self.counts.role_changes += 1;
        self.engines[engine].state = SlotState::Announced;
        self.engines[engine].next_role = role;
        let at = self.now + VIEW_DELAY;
        self.schedule.add(at, Occurrence::View(engine));
        self.schedule
            .add(at, Occurrence::RoleOrder { engine, role });
    }

    pub(super) fn order_role(&mut self, engine: usize, role: UpstreamRole) {
        let slot = &mut self.engines[engine];
        if slot.state != SlotState::Announced {
            return;
        }
        slot.state = SlotState::Changing;
        slot.model.change_role(self.now, role);
        self.schedule_engine(engine);
    }

    /// Begins to give an ordered engine back.
    pub(super) fn release_engine(&mut self, engine: usize) {
        if self.engines[engine].state != SlotState::Serving {
            return;
        }
        self.engines[engine].state = SlotState::Leaving;
        self.schedule
            .add(self.now + VIEW_DELAY, Occurrence::View(engine));
    }

    /// Lets a leaving engine go once nothing runs on it.
    pub(super) fn finish_leaving(&mut self, engine: usize) {
        let slot = &mut self.engines[engine];
        let load = slot.model.load();
        let idle = load.active_streams == 0 && load.prefill_backlog_tokens == 0;
        if slot.state == SlotState::Leaving && idle {
            slot.go(self.now);
        }
    }
}
