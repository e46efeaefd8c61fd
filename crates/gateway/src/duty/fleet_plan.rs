//! Changes the targets of a service by its demand and by the loss of spot upstreams.

use crate::clock;
use crate::state::GatewayState;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    FleetTarget, InitialFleet, ListedFleets, PeakWindow, ReplacementFacts, ScalingSpec, Service,
    SpotReplacement, StandingFleet, UpstreamTable, count_in_flight, count_listed_fleets,
    count_occupied,
};
use std::time::Duration;

/// Time over whose peak of requests in flight replacements are sized. It spans several
/// swings of the mix of requests.
const PEAK_DURATION: Duration = Duration::from_secs(10);

/// What the lease holder keeps of one service to change its targets.
pub(super) struct FleetPlan {
    replacement: SpotReplacement,
    standing: StandingFleet,
    in_flight_peak: PeakWindow,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            replacement: SpotReplacement::new(),
            standing: StandingFleet::new(),
            in_flight_peak: PeakWindow::new(PEAK_DURATION),
        }
    }
}

impl FleetPlan {
    /// Creates a plan for a host that took over the lease.
    pub(super) fn with_takeover(now: Timestamp, scaling: &ScalingSpec) -> Self {
        Self {
            replacement: SpotReplacement::with_takeover(now, scaling),
            standing: StandingFleet::with_takeover(),
            ..Self::default()
        }
    }

    /// Returns whether upstreams that a previous lease holder ordered may still appear.
    pub(super) fn is_adopting(&self, now: Timestamp) -> bool {
        self.replacement.is_adopting(now)
    }

    /// Records that an order for spot upstreams in `data_centre` was refused.
    pub(super) fn record_refusal(&mut self, data_centre: &str) {
        self.replacement.record_refusal(data_centre);
    }

    /// Changes `targets`, which are shares of the `initial` fleet.
    pub(super) fn apply(
        &mut self,
        state: &GatewayState,
        service: &Service,
        scaling: &ScalingSpec,
        initial: &InitialFleet,
        targets: &mut [FleetTarget],
    ) {
        let now = clock::now();
        let listed = count_listed_fleets(&state.table.borrow(), &service.name);
        self.apply_demand(now, state, service, scaling, &listed, targets);
        let table = state.table.borrow();
        let in_flight = count_in_flight(&table, &state.peer_loads.borrow(), &service.name);
        self.in_flight_peak.record(now, in_flight);
        let facts = ReplacementFacts {
            listed: &listed,
            initial,
            standing: match self.standing.dispensed() {
                0 => 0,
                _ => self.standing.required(now),
            },
            scaling,
            slots: slots_of(&table, service),
            peak_in_flight: self.in_flight_peak.peak(now),
        };
        let metrics = &state.metrics;
        let last_replaced = self.replacement.summary().replaced;
        self.replacement.apply(now, targets, &facts);
        let summary = self.replacement.summary();
        metrics.set_fleet_plan(&service.name, "replaced", summary.replaced);
        metrics.set_fleet_plan(&service.name, "missing", summary.missing);
        metrics.set_fleet_plan(&service.name, "dispensed", self.standing.dispensed());
        if summary.replaced != last_replaced {
            tracing::info!(
                service = service.name,
                required = summary.required,
                present = summary.present,
                missing = summary.missing,
                replaced = summary.replaced,
                peak_in_flight = facts.peak_in_flight,
                "number of replacements for reclaimable upstreams changed"
            );
        }
    }

    fn apply_demand(
        &mut self,
        now: Timestamp,
        state: &GatewayState,
        service: &Service,
        scaling: &ScalingSpec,
        listed: &ListedFleets,
        targets: &mut [FleetTarget],
    ) {
        let table = state.table.borrow();
        let peers = state.peer_loads.borrow();
        let position = state.roster.borrow().position(now);
        let hosts = position.map_or(1, |position| position.hosts);
        let slots = slots_of(&table, service);
        let occupied = count_occupied(&table, &peers, service, slots, hosts);
        let last_dispensed = self.standing.dispensed();
        self.standing.apply(now, occupied, targets, listed, scaling);
        if self.standing.dispensed() != last_dispensed {
            tracing::info!(
                service = service.name,
                last_dispensed,
                dispensed = self.standing.dispensed(),
                peak_occupied = self.standing.peak(now),
                reports = peers.report_count(),
                hosts,
                "number of dispensable standard upstreams changed"
            );
        }
    }
}

/// Returns the requests that one upstream of `service` runs concurrently.
fn slots_of(table: &UpstreamTable, service: &Service) -> u32 {
    let by_engine = service.engine.as_ref().map(|engine| engine.slots);
    let mut listed = table
        .iter()
        .filter(|(_, one)| one.record.service == service.name);
    let by_listed = listed.next().map(|(_, one)| one.record.slots);
    by_engine.or(by_listed).unwrap_or(1)
}
