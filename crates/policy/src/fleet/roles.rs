//! Which engine changes its role, and whose turn it is to order that.

use super::{EngineRecord, FleetPolicy};
use crate::split::{self, PayingStep, RoleCounts};
use crate::{EngineState, FleetAction, PhaseWork, Timestamp, UpstreamKey};
use lagoonlift_types::{DataCentreName, ModelName, UpstreamRole};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time that another data centre gets for a change that is its turn.
const TURN_PATIENCE: Duration = Duration::from_secs(6);

impl FleetPolicy {
    pub(super) fn plan_role(
        &mut self,
        now: Timestamp,
        model: &ModelName,
        work: PhaseWork,
        actions: &mut Vec<FleetAction>,
    ) {
        let serving = RoleCounts::of(self.serving(model).map(|engine| engine.facts.role));
        // Counted where they will be; otherwise the same need would be met twice.
        let coming = self.changing(model).map(|engine| match engine.facts.role {
            UpstreamRole::Prefill => UpstreamRole::Decode,
            UpstreamRole::Decode => UpstreamRole::Prefill,
            UpstreamRole::Mixed => UpstreamRole::Mixed,
        });
        let counts = serving.plus(RoleCounts::of(coming));
        let total = counts.total();
        let permitted_away = total
            .div_ceil(self.limits.engines_per_concurrent_change)
            .max(1);
        let best = split::best_step(counts, work, &self.limits);
        let Some(PayingStep { step, return_ratio }) =
            best.filter(|best| self.spares(model, best.step.from))
        else {
            // Patience counts from when the need came up, not from an earlier one.
            if let Some(record) = self.models.get_mut(model) {
                record.awaited = None;
            }
            return;
        };
        let away = self.away(model);
        let budget = &self.models[model].budget;
        if away >= permitted_away || !budget.permits(away, return_ratio, &self.limits) {
            return;
        }
        let Some(engine) = self.turn(now, model, step.from) else {
            return;
        };
        self.engines[engine].ordered_change = true;
        self.engines[engine].changed_at = Some(now);
        actions.push(FleetAction::ChangeRole {
            engine,
            role: step.to,
        });
    }

    /// Returns the own engine that is to leave `role`, if it's this data
    /// centre's turn.
    fn turn(
        &mut self,
        now: Timestamp,
        model: &ModelName,
        role: UpstreamRole,
    ) -> Option<UpstreamKey> {
        let first = self.ranked(now, model, role, |_| true)?;
        let has_role = |engine: &&EngineRecord| engine.facts.role == role;
        let in_role = self.serving(model).filter(has_role).count();
        let data_centres = self.data_centres();
        let patience = TURN_PATIENCE * self.place_in_turn();
        let record = self.models.get_mut(model)?;
        if self.engines[first].facts.data_centre == self.data_centre {
            record.awaited = None;
            return Some(first);
        }
        match record.awaited {
            // Every other data centre may lose its patience, too: each takes one
            // engine at most, so one must be left after all have.
            Some((key, since))
                if key == first && now.since(since) >= patience && in_role > data_centres =>
            {
                let own = self.data_centre.clone();
                self.ranked(now, model, role, |engine| engine.facts.data_centre == own)
            }
            Some((key, _)) if key == first => None,
            _ => {
                record.awaited = Some((first, now));
                None
            }
        }
    }

    /// Returns 1 for the first data centre by name, 2 for the second and so on:
    /// one after the other loses its patience, not all at once.
    fn place_in_turn(&self) -> u32 {
        let names = self
            .engines
            .values()
            .map(|engine| &engine.facts.data_centre);
        let earlier: BTreeSet<_> = names.filter(|name| **name < self.data_centre).collect();
        earlier.len() as u32 + 1
    }

    fn data_centres(&self) -> usize {
        let names = self
            .engines
            .values()
            .map(|engine| &engine.facts.data_centre);
        names.collect::<BTreeSet<_>>().len()
    }

    /// Returns the engine that should leave `role` first: from the data centre
    /// with the most of that role, then the least loaded.
    fn ranked(
        &self,
        now: Timestamp,
        model: &ModelName,
        role: UpstreamRole,
        eligible: impl Fn(&EngineRecord) -> bool,
    ) -> Option<UpstreamKey> {
        let mut per_site: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
        for engine in self.serving(model) {
            if engine.facts.role == role {
                *per_site.entry(&engine.facts.data_centre).or_default() += 1;
            }
        }
        let rested = |engine: &EngineRecord| {
            engine
                .changed_at
                .is_none_or(|at| now.since(at) >= self.limits.min_role_time)
        };
        let candidates = self.engines.iter().filter(|(_, engine)| {
            engine.facts.model == *model
                && engine.facts.role == role
                && engine.facts.state == EngineState::Serving
                && !engine.ordered_change
                && rested(engine)
                && eligible(engine)
        });
        candidates
            .min_by_key(|(_, engine)| {
                let count = per_site.get(&engine.facts.data_centre).copied();
                let streams = engine.load.map_or(0, |(_, load)| load.active_streams);
                let backlog = engine
                    .load
                    .map_or(0, |(_, load)| load.prefill_backlog_tokens);
                let load = u64::from(streams) + backlog;
                (std::cmp::Reverse(count), load, &engine.facts.name)
            })
            .map(|(key, _)| key)
    }
}
