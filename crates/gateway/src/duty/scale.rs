//! Orders upstreams for one service at a time.
//!
//! What is ordered is a share of the first fleet, so that fleet has to be known
//! whole before it is written down and before any of it is given back. Until
//! then only reclaimable upstreams are ordered, for those seen so far.

use super::{DUTY_TIMEOUT, Duties};
use crate::clock;
use crate::connection::{Endpoint, call};
use lagoonlift_adapter::duty::{ScaleOrder, scale_request};
use lagoonlift_adapter::store::{ReadKind, StoreError, StoreObject, WriteCondition};
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    FleetCensus, FleetTarget, InitialFleet, ScaleTraits, Service, SpendingPlan, UpstreamPhase,
    fleet_of,
};
use serde::Deserialize;
use std::collections::HashMap;
use std::time::Duration;

/// Kind of the objects that hold what a service's fleet was before the first
/// order.
const INITIAL_FLEET_KIND: &str = "fleet-plans";

/// Time after which an order that hasn't come true is repeated.
const RESEND_INTERVAL: Duration = Duration::from_secs(6);

/// Time after which an order that was refused is repeated.
const REFUSED_RESEND_INTERVAL: Duration = Duration::from_millis(1_500);

/// What this host has ordered, and what it orders by.
#[derive(Default)]
pub(super) struct ScaleOrders {
    /// What each service's fleet was before the first order.
    initial_fleets: HashMap<String, InitialFleet>,
    /// Fleets that are still registering.
    censuses: HashMap<String, FleetCensus>,
    last_orders: HashMap<TargetKey, LastOrder>,
}

/// A kind of upstreams of one service in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TargetKey {
    service: String,
    data_centre: String,
    is_spot: bool,
}

/// The last order for one target.
struct LastOrder {
    count: u32,
    resend_at: Timestamp,
}

/// What is known of the fleet that a service began with.
enum FleetKnowledge {
    /// All of it.
    Complete(InitialFleet),
    /// What has registered so far.
    Registering(InitialFleet),
}

impl ScaleOrders {
    /// Gives the orders that are due for `service`.
    pub(super) async fn order(&mut self, duties: &Duties, service: &Service) {
        let Some(scale) = &service.scale else {
            return;
        };
        let targets = match self.targets(duties, service, scale).await {
            Ok(targets) => targets,
            Err(error) => {
                tracing::warn!(service = service.name, %error, "no plan for the upstreams");
                return;
            }
        };
        for target in targets {
            self.order_target(duties, service, target).await;
        }
    }

    async fn targets(
        &mut self,
        duties: &Duties,
        service: &Service,
        scale: &ScaleTraits,
    ) -> Result<Vec<FleetTarget>, StoreError> {
        let plan = SpendingPlan::new();
        Ok(match self.initial_fleet(duties, service).await? {
            FleetKnowledge::Complete(counts) => plan.targets(&counts, scale),
            FleetKnowledge::Registering(counts) => {
                let mut targets = plan.targets(&counts, scale);
                targets.retain(|target| target.is_spot);
                targets
            }
        })
    }

    /// Returns the fleet that `service` began with, as far as it is known; once
    /// it is whole, it is written down for the next holder of the duty.
    async fn initial_fleet(
        &mut self,
        duties: &Duties,
        service: &Service,
    ) -> Result<FleetKnowledge, StoreError> {
        let name = &service.name;
        if let Some(initial) = self.initial_fleets.get(name) {
            return Ok(FleetKnowledge::Complete(initial.clone()));
        }
        let is_first_attempt = !self.censuses.contains_key(name);
        let recorded = match is_first_attempt {
            true => read_initial_fleet(duties, name).await?,
            false => None,
        };
        let initial = match recorded {
            Some(initial) => initial,
            None => {
                let now = clock::now();
                let listed = fleet_of(&duties.host.table.borrow(), name);
                let census = self.censuses.entry(name.clone()).or_default();
                census.note(now, &listed);
                if !census.is_settled(now) {
                    return Ok(FleetKnowledge::Registering(census.counts().clone()));
                }
                let initial = write_initial_fleet(duties, name, census.counts()).await?;
                tracing::info!(service = name, ?initial, "the first fleet is complete");
                initial
            }
        };
        self.initial_fleets.insert(name.clone(), initial.clone());
        Ok(FleetKnowledge::Complete(initial))
    }

    async fn order_target(&mut self, duties: &Duties, service: &Service, target: FleetTarget) {
        let key = TargetKey {
            service: service.name.clone(),
            data_centre: target.data_centre.clone(),
            is_spot: target.is_spot,
        };
        let present = count_present(duties, &key);
        let is_due = match self.last_orders.get(&key) {
            None => true,
            Some(last) if last.count != target.count => true,
            Some(last) => clock::now() >= last.resend_at && present != target.count,
        };
        if !is_due {
            return;
        }
        let Some(is_accepted) = send_order(duties, &key, target.count, present).await else {
            return;
        };
        let pause = match is_accepted {
            true => RESEND_INTERVAL,
            false => REFUSED_RESEND_INTERVAL,
        };
        if is_accepted && !target.is_spot && target.count < present {
            // Standard upstreams that leave make room for reclaimable ones that
            // an earlier order may have been cut short of.
            self.last_orders.remove(&TargetKey {
                is_spot: true,
                ..key.clone()
            });
        }
        let last = LastOrder {
            count: target.count,
            resend_at: clock::now() + pause,
        };
        self.last_orders.insert(key, last);
    }
}

/// Sends one order; returns whether it was accepted, `None` if it wasn't sent.
async fn send_order(duties: &Duties, key: &TargetKey, count: u32, present: u32) -> Option<bool> {
    let holder = duties.holder()?;
    let order = ScaleOrder {
        service: key.service.clone(),
        data_centre: key.data_centre.clone(),
        count,
        is_spot: key.is_spot,
    };
    let request = scale_request(duties.address, &holder, &order);
    let endpoint = Endpoint::Address(duties.address);
    let pool = &duties.host.pool;
    let response = call(pool, endpoint, duties.address, request, DUTY_TIMEOUT).await;
    let status = response.map(|response| response.status);
    tracing::info!(
        ?order,
        present,
        fencing_number = holder.fencing_number,
        ?status,
        "upstreams ordered"
    );
    Some(matches!(status, Ok(status) if status.is_success()))
}

/// Returns what the fleet was before the first order, if that was written down.
async fn read_initial_fleet(
    duties: &Duties,
    service: &str,
) -> Result<Option<InitialFleet>, StoreError> {
    let store = &duties.host.store;
    let object = store
        .read(INITIAL_FLEET_KIND, service, ReadKind::Exact)
        .await?;
    object
        .map(|object| parse_initial_fleet(&object))
        .transpose()
}

/// Writes down what the fleet is before the first order that gives any of it
/// back; returns what is written, which may be an earlier holder's.
async fn write_initial_fleet(
    duties: &Duties,
    service: &str,
    initial: &InitialFleet,
) -> Result<InitialFleet, StoreError> {
    let store = &duties.host.store;
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
    let table = duties.host.table.borrow();
    let present = table.iter().filter(|(_, one)| {
        let record = &one.record;
        record.service == key.service
            && record.data_centre == key.data_centre
            && record.is_spot == key.is_spot
            && record.phase == UpstreamPhase::Serving
    });
    present.count() as u32
}
