//! Selects the engine that changes its role.
//!
//! Stewards don't communicate about role changes. They rank the engines in the
//! same order, and each acts only if the first engine is in its own data centre.
//! If the responsible steward doesn't act within a timeout, another one changes
//! an engine of its own instead.

use super::{EngineRecord, FleetPolicy};
use crate::role_split::{self, RoleCounts, ScoredRoleChange};
use crate::{EngineState, FleetAction, PhaseWork, Timestamp, UpstreamKey};
use lagoonlift_types::{DataCentreName, ModelName, UpstreamRole};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time that another data centre has to make a change when it is its turn.
const TURN_TIMEOUT: Duration = Duration::from_secs(6);

impl FleetPolicy {
    pub(super) fn plan_role(
        &mut self,
        now: Timestamp,
        model: &ModelName,
        work: PhaseWork,
        actions: &mut Vec<FleetAction>,
    ) {
        let serving =
            RoleCounts::from_roles(self.serving_engines(model).map(|engine| engine.facts.role));
        // Every engine with an open order counts in the opposite role, as if the
        // order were a change between prefill and decode; a mixed engine stays
        // mixed. Engines that load another model or are being released are counted
        // in this way too. If changing engines counted in their former role, the
        // policy would respond to the same need twice.
        let assumed_roles = self
            .changing_engines(model)
            .map(|engine| match engine.facts.role {
                UpstreamRole::Prefill => UpstreamRole::Decode,
                UpstreamRole::Decode => UpstreamRole::Prefill,
                UpstreamRole::Mixed => UpstreamRole::Mixed,
            });
        let counts = serving.plus(RoleCounts::from_roles(assumed_roles));
        let total = counts.total();
        let max_changing = total
            .div_ceil(self.limits.engines_per_concurrent_change)
            .max(1);
        let best = role_split::best_role_change(counts, work, &self.limits);
        let Some(ScoredRoleChange {
            change,
            relative_saving,
        }) = best.filter(|best| self.can_spare_engine(model, best.change.from))
        else {
            // The timeout starts when a need arises and must not include the time
            // since an earlier need.
            if let Some(record) = self.models.get_mut(model) {
                record.awaited_engine = None;
            }
            return;
        };
        let changing = self.changing_count(model);
        let budget = &self.models[model].budget;
        if changing >= max_changing || !budget.permits(changing, relative_saving, &self.limits) {
            return;
        }
        let Some(engine) = self.select_engine(now, model, change.from) else {
            return;
        };
        self.engines[engine].has_open_order = true;
        self.engines[engine].changed_at = Some(now);
        actions.push(FleetAction::ChangeRole {
            engine,
            role: change.to,
        });
    }

    /// Returns the engine of this data centre that should leave `role`, or `None`
    /// if it is the turn of another data centre.
    fn select_engine(
        &mut self,
        now: Timestamp,
        model: &ModelName,
        role: UpstreamRole,
    ) -> Option<UpstreamKey> {
        let first = self.first_ranked(now, model, role, |_| true)?;
        let has_role = |engine: &&EngineRecord| engine.facts.role == role;
        let in_role = self.serving_engines(model).filter(has_role).count();
        let data_centres = self.data_centre_count();
        let turn_timeout = TURN_TIMEOUT * self.data_centre_rank();
        let record = self.models.get_mut(model)?;
        if self.engines[first].facts.data_centre == self.data_centre {
            record.awaited_engine = None;
            return Some(first);
        }
        match record.awaited_engine {
            // The timeout may expire in every other data centre as well. Each of
            // them changes at most one engine, so one engine must keep the role
            // after all of them have acted.
            Some((key, since))
                if key == first && now.since(since) >= turn_timeout && in_role > data_centres =>
            {
                let own = self.data_centre.clone();
                self.first_ranked(now, model, role, |engine| engine.facts.data_centre == own)
            }
            Some((key, _)) if key == first => None,
            _ => {
                record.awaited_engine = Some((first, now));
                None
            }
        }
    }

    /// Returns the rank of this data centre by name, starting at 1.
    ///
    /// The timeout is multiplied by the rank, so that the data centres don't all
    /// act at the same time.
    fn data_centre_rank(&self) -> u32 {
        let names = self
            .engines
            .values()
            .map(|engine| &engine.facts.data_centre);
        let earlier: BTreeSet<_> = names.filter(|name| **name < self.data_centre).collect();
        earlier.len() as u32 + 1
    }

    fn data_centre_count(&self) -> usize {
        let names = self
            .engines
            .values()
            .map(|engine| &engine.facts.data_centre);
        names.collect::<BTreeSet<_>>().len()
    }

    /// Returns the eligible engine that should leave `role` first.
    ///
    /// Engines of the data centre with the most engines of that role come first,
    /// and among these the one with the fewest streams and queued prompt tokens.
    fn first_ranked(
        &self,
        now: Timestamp,
        model: &ModelName,
        role: UpstreamRole,
        is_eligible: impl Fn(&EngineRecord) -> bool,
    ) -> Option<UpstreamKey> {
        let mut per_data_centre: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
        for engine in self.serving_engines(model) {
            if engine.facts.role == role {
                *per_data_centre
                    .entry(&engine.facts.data_centre)
                    .or_default() += 1;
            }
        }
        let has_served_min_time = |engine: &EngineRecord| {
            engine
                .changed_at
                .is_none_or(|at| now.since(at) >= self.limits.min_role_time)
        };
        let candidates = self.engines.iter().filter(|(_, engine)| {
            engine.facts.model == *model
                && engine.facts.role == role
                && engine.facts.state == EngineState::Serving
                && !engine.has_open_order
                && has_served_min_time(engine)
                && is_eligible(engine)
        });
        candidates
            .min_by_key(|(_, engine)| {
                let count = per_data_centre.get(&engine.facts.data_centre).copied();
                let streams = engine
                    .load_report
                    .map_or(0, |(_, report)| report.active_streams);
                let backlog_tokens = engine
                    .load_report
                    .map_or(0, |(_, report)| report.prefill_backlog_tokens);
                // Streams and tokens are different units. Their sum is only a
                // rough sort key.
                let load_sort_key = u64::from(streams) + backlog_tokens;
                (std::cmp::Reverse(count), load_sort_key, &engine.facts.name)
            })
            .map(|(key, _)| key)
    }
}
