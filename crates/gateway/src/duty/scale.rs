//! Requests the number of upstreams of a service from the platform.
//!
//! A scale order is a request for a target number of upstreams of one service in one
//! data centre, either of spot upstreams, which the platform may reclaim, or of
//! standard (reserved) upstreams, which are all others.
//!
//! Target counts are shares of the initial fleet, which is the fleet before the
//! first order. The initial fleet must therefore have registered completely before
//! it is stored and before any of its upstreams are released. Until then, only
//! spot upstreams are requested, in proportion to the upstreams that have
//! registered so far.

use super::fleet_plan::FleetPlan;
use super::{DUTY_TIMEOUT, Duties};
use crate::clock;
use crate::connection::{CallLimits, Endpoint, call};
use http::StatusCode;
use lagoonlift_adapter::duty::{ScaleOrder, scale_request};
use lagoonlift_adapter::store::{ReadConsistency, StoreError, StoreObject, WriteCondition};
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    FleetTarget, InitialFleet, InitialFleetCounter, ScalePlanner, ScalingSpec, Service,
    UpstreamPhase, count_standard_upstreams,
};
use serde::Deserialize;
use std::collections::HashMap;
use std::time::Duration;

/// Kind of the objects that store a service's initial fleet.
const INITIAL_FLEET_KIND: &str = "fleet-plans";

/// Time after which an accepted order that has not taken effect is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(6);

/// Time after which an order that was not accepted is sent again.
const REFUSED_RESEND_INTERVAL: Duration = Duration::from_millis(1_500);

/// Scale orders of this host and the initial fleets that they are based on.
#[derive(Default)]
pub(super) struct ScaleOrders {
    /// Complete initial fleets by service name. They are kept when the lease is lost,
    /// and are stored again if a restore of the store lost them.
    initial_fleets: HashMap<String, InitialFleet>,
    /// Restores of the store after which the initial fleets have been stored again.
    handled_restores: u64,
    /// Counts of fleets that are still registering, by service name.
    fleet_counters: HashMap<String, InitialFleetCounter>,
    last_orders: HashMap<TargetKey, LastOrder>,
    /// Changes of the targets by service name.
    plans: HashMap<String, FleetPlan>,
}

/// Identifies a target count: the spot or the standard upstreams of one
/// service in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TargetKey {
    service: String,
    data_centre: String,
    is_spot: bool,
}

/// The last order for one target count.
struct LastOrder {
    count: u32,
    outcome: OrderOutcome,
    resend_at: Timestamp,
}

/// What became of a scale order.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OrderOutcome {
    /// The platform carries it out.
    Accepted,
    /// The platform has no such upstreams, or no room for them.
    Refused,
    /// There was no response, or an error.
    Failed,
}

impl OrderOutcome {
    fn new(status: Option<StatusCode>) -> Self {
        match status {
            Some(status) if status.is_success() => Self::Accepted,
            Some(StatusCode::CONFLICT) => Self::Refused,
            _ => Self::Failed,
        }
    }

    fn resend_interval(self) -> Duration {
        match self {
            Self::Accepted => RESEND_INTERVAL,
            Self::Refused | Self::Failed => REFUSED_RESEND_INTERVAL,
        }
    }
}

/// What is known of a service's initial fleet.
enum FleetKnowledge {
    /// The fleet has registered completely.
    Complete(InitialFleet),
    /// The upstreams that have registered so far.
    Registering(InitialFleet),
}

impl ScaleOrders {
    /// Forgets the orders of a lease that was lost.
    pub(super) fn forget_orders(&mut self) {
        self.fleet_counters.clear();
        self.last_orders.clear();
        self.plans.clear();
    }

    /// Stores the known initial fleets again if the store was restored.
    pub(super) async fn store_fleets_again(&mut self, duties: &Duties) {
        let restores = duties.state.store.era().restores();
        if restores == self.handled_restores {
            return;
        }
        for (service, fleet) in &self.initial_fleets {
            if let Err(error) = write_initial_fleet(duties, service, fleet).await {
                tracing::warn!(service, %error, "failed to store the initial fleet again");
                return;
            }
            tracing::info!(service, "initial fleet stored again");
        }
        self.handled_restores = restores;
    }

    /// Sends the scale orders that are due for `service`.
    pub(super) async fn send_due_orders(&mut self, duties: &Duties, service: &Service) {
        let Some(scale) = &service.scaling else {
            return;
        };
        let targets = match self.targets(duties, service, scale).await {
            Ok(targets) => targets,
            Err(error) => {
                tracing::warn!(
                    service = service.name,
                    %error,
                    "failed to read or store the initial fleet"
                );
                return;
            }
        };
        for target in targets {
            self.send_if_due(duties, service, target).await;
        }
    }

    async fn targets(
        &mut self,
        duties: &Duties,
        service: &Service,
        scale: &ScalingSpec,
    ) -> Result<Vec<FleetTarget>, StoreError> {
        let plan = ScalePlanner::new();
        let is_takeover = !self.fleet_counters.contains_key(&service.name);
        Ok(match self.initial_fleet(duties, service).await? {
            FleetKnowledge::Complete(counts) => {
                let mut targets = plan.targets(&counts, scale);
                let plan = self.plans.entry(service.name.clone());
                let plan = plan.or_insert_with(|| match is_takeover {
                    true => FleetPlan::with_takeover(clock::now(), scale),
                    false => FleetPlan::default(),
                });
                plan.apply(&duties.state, service, scale, &counts, &mut targets);
                targets
            }
            FleetKnowledge::Registering(counts) => {
                let mut targets = plan.targets(&counts, scale);
                targets.retain(|target| target.is_spot);
                targets
            }
        })
    }

    /// Returns whether an order would release standard upstreams which the previous
    /// lease holder may have ordered on purpose.
    fn may_undo_order(&self, key: &TargetKey, count: u32, present: u32) -> bool {
        let plan = self.plans.get(&key.service);
        let is_adopting = plan.is_some_and(|plan| plan.is_adopting(clock::now()));
        is_adopting && !key.is_spot && count <= present
    }

    /// Returns the initial fleet of `service` as far as it is known. Once it is
    /// complete, it is stored for later lease holders.
    async fn initial_fleet(
        &mut self,
        duties: &Duties,
        service: &Service,
    ) -> Result<FleetKnowledge, StoreError> {
        let name = &service.name;
        if let Some(initial) = self.initial_fleets.get(name) {
            return Ok(FleetKnowledge::Complete(initial.clone()));
        }
        let is_first_attempt = !self.fleet_counters.contains_key(name);
        let recorded = match is_first_attempt {
            true => read_initial_fleet(duties, name).await?,
            false => None,
        };
        let initial = match recorded {
            Some(initial) => initial,
            None => {
                let now = clock::now();
                let listed = count_standard_upstreams(&duties.state.table.borrow(), name);
                let counter = self.fleet_counters.entry(name.clone()).or_default();
                counter.observe(now, &listed);
                if !counter.is_settled(now) {
                    return Ok(FleetKnowledge::Registering(counter.counts().clone()));
                }
                let initial = write_initial_fleet(duties, name, counter.counts()).await?;
                tracing::info!(service = name, ?initial, "the first fleet is complete");
                initial
            }
        };
        self.initial_fleets.insert(name.clone(), initial.clone());
        Ok(FleetKnowledge::Complete(initial))
    }

    async fn send_if_due(&mut self, duties: &Duties, service: &Service, target: FleetTarget) {
        let key = TargetKey {
            service: service.name.clone(),
            data_centre: target.data_centre.clone(),
            is_spot: target.is_spot,
        };
        let present = count_present(duties, &key);
        let is_due = match self.last_orders.get(&key) {
            None => true,
            Some(last) if last.count != target.count => {
                // The count of a refused order may change with each pass.
                last.outcome == OrderOutcome::Accepted || clock::now() >= last.resend_at
            }
            Some(last) => clock::now() >= last.resend_at && present != target.count,
        };
        if !is_due || self.may_undo_order(&key, target.count, present) {
            return;
        }
        let Some(outcome) = send_order(duties, &key, target.count, present).await else {
            return;
        };
        let is_accepted = outcome == OrderOutcome::Accepted;
        if is_accepted && !target.is_spot && target.count < present {
            self.resend_spot_order(duties, &key);
        }
        if outcome == OrderOutcome::Refused && target.is_spot {
            let plan = self.plans.entry(service.name.clone()).or_default();
            plan.record_refusal(&target.data_centre);
        }
        let last = LastOrder {
            count: target.count,
            outcome,
            resend_at: clock::now() + outcome.resend_interval(),
        };
        self.last_orders.insert(key, last);
    }

    /// Sends the order for spot upstreams of a data centre again if not all are present.
    /// Releasing standard upstreams frees capacity for spot ones, the lack of which may
    /// have limited an earlier order.
    fn resend_spot_order(&mut self, duties: &Duties, released: &TargetKey) {
        let key = TargetKey {
            is_spot: true,
            ..released.clone()
        };
        let present = count_present(duties, &key);
        let is_complete = |last: &LastOrder| last.count <= present;
        if !self.last_orders.get(&key).is_some_and(is_complete) {
            self.last_orders.remove(&key);
        }
    }
}

/// Sends one order and returns what became of it, or `None` if it wasn't sent because
/// this host holds no lease.
async fn send_order(
    duties: &Duties,
    key: &TargetKey,
    count: u32,
    present: u32,
) -> Option<OrderOutcome> {
    let holder = duties.holder()?;
    let order = ScaleOrder {
        service: key.service.clone(),
        data_centre: key.data_centre.clone(),
        count,
        is_spot: key.is_spot,
    };
    let request = scale_request(duties.address, &holder, &order);
    let endpoint = Endpoint::Address(duties.address);
    let pool = &duties.state.pool;
    let limits = CallLimits::control(DUTY_TIMEOUT);
    let response = call(pool, endpoint, duties.address, request, limits).await;
    let status = response.map(|response| response.status);
    // Logged also if the platform refused the order or didn't respond; `status` tells.
    tracing::info!(
        service = order.service,
        data_centre = order.data_centre,
        count = order.count,
        is_spot = order.is_spot,
        present,
        fencing_number = holder.fencing_token,
        status = status.as_ref().map(StatusCode::as_u16).ok(),
        error = status.as_ref().err().map(ToString::to_string),
        "upstreams ordered"
    );
    Some(OrderOutcome::new(status.ok()))
}

/// Reads the stored initial fleet of a service, if there is one.
async fn read_initial_fleet(
    duties: &Duties,
    service: &str,
) -> Result<Option<InitialFleet>, StoreError> {
    let store = &duties.state.store;
    let object = store
        .read(INITIAL_FLEET_KIND, service, ReadConsistency::Linearizable)
        .await?;
    object
        .map(|object| parse_initial_fleet(&object))
        .transpose()
}

/// Stores the initial fleet before the first order that releases any of it.
/// Returns the stored fleet, which an earlier lease holder may have written.
async fn write_initial_fleet(
    duties: &Duties,
    service: &str,
    initial: &InitialFleet,
) -> Result<InitialFleet, StoreError> {
    let store = &duties.state.store;
    let written = store.write(INITIAL_FLEET_KIND, service, initial, WriteCondition::Absent);
    match written.await {
        Ok(_) => Ok(initial.clone()),
        Err(StoreError::Conflict(Some(current))) => parse_initial_fleet(&current),
        Err(error) => Err(error),
    }
}

fn parse_initial_fleet(object: &StoreObject) -> Result<InitialFleet, StoreError> {
    InitialFleet::deserialize(&object.contents)
        .map_err(|error| StoreError::Malformed(error.to_string()))
}

fn count_present(duties: &Duties, key: &TargetKey) -> u32 {
    let table = duties.state.table.borrow();
    let present = table.iter().filter(|(_, one)| {
        let record = &one.record;
        record.service == key.service
            && record.data_centre == key.data_centre
            && record.is_spot == key.is_spot
            && record.phase == UpstreamPhase::Serving
    });
    present.count() as u32
}
