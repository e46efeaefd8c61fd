//! Simulation of engines: steps, reports, role changes and removal.

use crate::contender::Contender;
use crate::deployment::EngineSpec;
use crate::driver::{ENGINE_STATE_DELAY, REPORT_DELAY, Simulation};
use crate::engine_simulation::{EngineLifecycle, SimulatedEngine};
use crate::schedule::SimulationEvent;
use lagoonlift_policy::{AttemptEnd, EntryEvent};
use lagoonlift_standins::model::{EngineCosts, EngineEvent};
use lagoonlift_types::UpstreamRole;
use std::time::Duration;

impl Simulation {
    pub(super) fn add_engine(&mut self, mut spec: EngineSpec, is_ordered: bool) {
        let mut costs = EngineCosts::default();
        let mut delay = REPORT_DELAY;
        if self.key.contender == Contender::Oracle {
            costs.interference = 1.0;
            delay = Duration::ZERO;
        }
        if self.key.contender == Contender::AllMixed {
            spec.role = UpstreamRole::Mixed;
        }
        let seed = self.key.seed * 1_000 + self.engines.len() as u64;
        let mut simulated = SimulatedEngine::new(spec, costs, self.now, delay, seed, is_ordered);
        simulated.load_reports.set_frozen(self.is_frozen);
        let facts = simulated.upstream_facts(&self.data_centres);
        for host in &mut self.hosts {
            host.add_upstream(facts.clone());
        }
        self.fleet
            .add_engine(simulated.engine_facts(&self.data_centres));
        self.engines.push(simulated);
    }

    /// Updates an engine's state in the entry hosts.
    pub(super) fn publish_engine_state(&mut self, engine: usize) {
        let facts = self.engines[engine].upstream_facts(&self.data_centres);
        for host in &mut self.hosts {
            host.update_upstream(engine, facts.clone());
        }
    }

    /// Schedules the end of an engine's current step unless that is done already.
    pub(super) fn schedule_engine(&mut self, engine: usize) {
        let simulated = &mut self.engines[engine];
        let next = simulated.model.next_event();
        if let Some(at) = next
            && simulated.scheduled_step_end != next
        {
            simulated.scheduled_step_end = next;
            self.schedule.add(at, SimulationEvent::EngineStep(engine));
        }
    }

    pub(super) fn advance_engine(&mut self, engine: usize) {
        let simulated = &mut self.engines[engine];
        if simulated.scheduled_step_end != Some(self.now) || simulated.is_removed() {
            return;
        }
        simulated.scheduled_step_end = None;
        let mut events = Vec::new();
        simulated.model.advance(self.now, &mut events);
        for event in events {
            self.handle_engine_event(engine, event);
        }
        self.schedule_engine(engine);
        self.finish_draining(engine);
    }

    fn handle_engine_event(&mut self, engine: usize, event: EngineEvent) {
        match event {
            EngineEvent::Prefilled { id } => self.record_prefill_end(id as usize, engine),
            EngineEvent::FirstToken { id } => self.record_first_token(id as usize),
            EngineEvent::Completed { id } => {
                let output_tokens = self.arrivals[id as usize].output_tokens;
                self.requests[id as usize].completed_at = Some(self.now);
                self.requests[id as usize].on_reclaimable =
                    self.engines[engine].spec.supply == lagoonlift_types::Supply::Reclaimable;
                self.end_attempt(id as usize, engine, AttemptEnd::Completed { output_tokens });
            }
            EngineEvent::CacheChanged { prefix, held } => {
                self.engines[engine]
                    .prefix_cache_events
                    .push(self.now, prefix, held);
            }
            EngineEvent::RoleChanged { .. } => {
                self.engines[engine].state = EngineLifecycle::Serving;
                self.schedule.add(
                    self.now + ENGINE_STATE_DELAY,
                    SimulationEvent::EngineStateVisible(engine),
                );
                self.fleet.report_order_finished(self.now, engine);
            }
        }
    }

    /// Collects load reports of all engines, and delivers the load reports and
    /// prefix cache events whose delay is over.
    pub(super) fn deliver_reports(&mut self) {
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            if engine.is_removed() {
                continue;
            }
            engine.load_reports.push(self.now, engine.model.load());
            while let Some((measured_at, report)) = engine.load_reports.pop(self.now) {
                self.fleet.report_load(self.now, index, measured_at, report);
                for (host, entry) in self.hosts.iter().enumerate() {
                    let upstream = entry.upstream_keys[index];
                    let event = EntryEvent::LoadReported {
                        upstream,
                        measured_at,
                        report,
                    };
                    self.pending_events.push_back((host, event));
                }
            }
            while let Some((prefix, held)) = engine.prefix_cache_events.pop(self.now) {
                for (host, entry) in self.hosts.iter().enumerate() {
                    let upstream = entry.upstream_keys[index];
                    let event = EntryEvent::PrefixCacheChanged {
                        upstream,
                        prefix,
                        held,
                    };
                    self.pending_events.push_back((host, event));
                }
            }
        }
    }

    /// Announces a role change. It starts once the entry hosts know that the
    /// engine accepts no more requests.
    pub(super) fn announce_role_change(&mut self, engine: usize, role: UpstreamRole) {
        if self.engines[engine].state != EngineLifecycle::Serving {
            return;
        }
        self.counts.role_changes += 1;
        self.engines[engine].state = EngineLifecycle::Announced;
        self.engines[engine].next_role = role;
        let at = self.now + ENGINE_STATE_DELAY;
        self.schedule
            .add(at, SimulationEvent::EngineStateVisible(engine));
        self.schedule
            .add(at, SimulationEvent::RoleChange { engine, role });
    }

    pub(super) fn start_role_change(&mut self, engine: usize, role: UpstreamRole) {
        let simulated = &mut self.engines[engine];
        if simulated.state != EngineLifecycle::Announced {
            return;
        }
        simulated.state = EngineLifecycle::Changing;
        simulated.model.change_role(self.now, role);
        self.schedule_engine(engine);
    }

    /// Starts to drain an engine that is no longer needed.
    pub(super) fn release_engine(&mut self, engine: usize) {
        if self.engines[engine].state != EngineLifecycle::Serving {
            return;
        }
        self.engines[engine].state = EngineLifecycle::Draining;
        self.schedule.add(
            self.now + ENGINE_STATE_DELAY,
            SimulationEvent::EngineStateVisible(engine),
        );
    }

    /// Removes a draining engine once it is idle.
    pub(super) fn finish_draining(&mut self, engine: usize) {
        let simulated = &mut self.engines[engine];
        let load = simulated.model.load();
        let is_idle = load.active_streams == 0 && load.prefill_backlog_tokens == 0;
        if simulated.state == EngineLifecycle::Draining && is_idle {
            simulated.mark_removed(self.now);
        }
    }
}
