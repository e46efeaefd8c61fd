//! Manages the fleet while this host holds the lease: requests the number of
//! upstreams of each service from the platform and assigns roles to engines.

use super::scale::ScaleOrders;
use super::{DUTY_TIMEOUT, Duties};
use crate::announcements::record_announcements;
use crate::clock;
use crate::connection::{CallLimits, Endpoint, call};
use lagoonlift_adapter::duty::{EngineOrder, OrderResponse, decode_order_response, engine_request};
use lagoonlift_adapter::upstream::{EngineStatus, decode_status, status_request};
use lagoonlift_policy::dispatch::{
    DecodeWorkEstimate, EngineSpec, RoleLoads, RoleOrder, RolePlanner, Service, ServiceDigest,
    UpstreamRecord,
};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two passes over the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which an engine that has not carried out its order may get another
/// one. An order without a response may still be carried out within this time.
const ORDER_TIMEOUT: Duration = Duration::from_secs(13);

/// Largest number of open role orders, as a share of the engines of the service
/// that is being planned. The open orders of all services count against it.
const MAX_OPEN_ORDER_SHARE: f64 = 0.34;

/// What this host keeps about its orders. Role orders are forgotten when the lease is lost,
/// all others but the initial fleets when it is gained with another fencing token.
#[derive(Default)]
struct FleetOrders {
    /// Fencing token of the lease under which the orders were sent.
    fencing_token: Option<u64>,
    /// Scale orders, with the initial fleets that they are based on.
    scale: ScaleOrders,
    /// Open role orders, with the time when each was opened, just before it is sent.
    /// An order that could not be sent is kept open and announced to the peers like
    /// one that was sent.
    role_orders: HashMap<UpstreamKey, (RoleOrder, Timestamp)>,
    /// Estimates of the needed decode engines by service name.
    decode_work: HashMap<String, DecodeWorkEstimate>,
}

impl FleetOrders {
    /// Forgets what was planned and ordered under another lease. Without a change of the
    /// fencing token, nobody else has ordered anything since.
    fn start_lease(&mut self, fencing_token: u64) {
        if self.fencing_token.replace(fencing_token) != Some(fencing_token) {
            self.decode_work.clear();
            self.scale.forget_orders();
        }
    }

    fn open_orders(&self) -> Vec<RoleOrder> {
        let orders = self.role_orders.values();
        orders.map(|(order, _)| *order).collect()
    }
}

/// Manages the fleet until the process ends; idles without the lease.
pub(crate) async fn manage(duties: Rc<Duties>) {
    let mut fleet_orders = FleetOrders::default();
    loop {
        sleep(POLL_INTERVAL).await;
        fleet_orders.scale.store_fleets_again(&duties).await;
        let Some(holder) = duties.holder() else {
            fleet_orders.role_orders.clear();
            duties.state.open_role_orders.borrow_mut().clear();
            duties.state.decode_work.borrow_mut().clear();
            continue;
        };
        fleet_orders.start_lease(holder.fencing_token);
        let Some(config) = duties.state.config() else {
            continue;
        };
        for service in config.services() {
            if duties.enabled.scales_services {
                fleet_orders.scale.send_due_orders(&duties, service).await;
            }
            if let Some(engine) = &service.engine {
                update_decode_work(&duties, service, engine, &mut fleet_orders);
                order_roles(&duties, service, &mut fleet_orders).await;
            }
        }
    }
}

/// Updates the number of decode engines that the work of `service` calls for, and
/// announces it to all hosts.
fn update_decode_work(
    duties: &Duties,
    service: &Service,
    engine: &EngineSpec,
    fleet_orders: &mut FleetOrders,
) {
    remove_closed_orders(duties, fleet_orders);
    let now = clock::now();
    let open = fleet_orders.open_orders();
    let table = duties.state.table.borrow();
    let mut peers = duties.state.peer_loads.borrow_mut();
    let loads = RoleLoads::new(&table, &peers, &service.name, &open);
    let estimate = fleet_orders.decode_work.entry(service.name.clone());
    let estimate = estimate
        .or_insert_with(|| DecodeWorkEstimate::new(now, peers.decode_work(now, &service.name)));
    let last_engines = estimate.engines();
    let (decode_peak, prefill_peak) = estimate.peaks(now);
    estimate.record(now, loads, engine);
    if estimate.engines() != last_engines {
        tracing::info!(
            service = service.name,
            last_engines,
            engines = estimate.engines(),
            decode_engines = loads.decode_engines,
            prefill_engines = loads.prefill_engines,
            decode_in_flight = loads.decode_in_flight,
            prefill_in_flight = loads.prefill_in_flight,
            decode_peak,
            prefill_peak,
            "number of decode engines that the work calls for changed"
        );
    }
    let metrics = &duties.state.metrics;
    metrics.set_fleet_plan(&service.name, "decode_engines", estimate.engines());
    let digest = ServiceDigest::new(&service.name);
    let mut announced = duties.state.decode_work.borrow_mut();
    announced.retain(|(service, _)| *service != digest);
    if estimate.is_announced(now) {
        announced.push((digest, estimate.engines()));
    }
    peers.record_decode_work(now, &announced);
}

async fn order_roles(duties: &Duties, service: &Service, fleet_orders: &mut FleetOrders) {
    remove_closed_orders(duties, fleet_orders);
    let orders = {
        let table = duties.state.table.borrow();
        let open = fleet_orders.open_orders();
        let now = clock::now();
        let work = duties
            .state
            .peer_loads
            .borrow()
            .decode_work(now, &service.name);
        let mut orders = RolePlanner::with_work(work).orders(&table, &service.name, &open);
        orders.retain(|order| {
            let engine = table.get(order.upstream);
            engine.is_some_and(|one| one.hold_off(now).is_none())
        });
        orders
    };
    let open_count = fleet_orders.role_orders.len();
    let room = max_open_orders(duties, service).saturating_sub(open_count);
    for order in orders.into_iter().take(room) {
        fleet_orders
            .role_orders
            .insert(order.upstream, (order, clock::now()));
        order_role(duties, order).await;
    }
    *duties.state.open_role_orders.borrow_mut() =
        fleet_orders.role_orders.keys().copied().collect();
    duties.state.update_changing_roles();
}

/// Returns the largest number of open role orders with which another one may be sent
/// to an engine of `service`. Before this host has received a request, it is the
/// number of the service's engines.
fn max_open_orders(duties: &Duties, service: &Service) -> usize {
    let table = duties.state.table.borrow();
    let of_service = table
        .iter()
        .filter(|(_, one)| one.record.service == service.name);
    let engines = of_service.count();
    match duties.state.has_received_request() {
        true => ((engines as f64 * MAX_OPEN_ORDER_SHARE).ceil() as usize).max(1),
        false => engines,
    }
}

/// Removes orders that were carried out, whose engine is no longer listed, or that
/// have timed out.
fn remove_closed_orders(duties: &Duties, fleet_orders: &mut FleetOrders) {
    let now = clock::now();
    let table = duties.state.table.borrow();
    fleet_orders.role_orders.retain(|key, (order, since)| {
        let is_open = |record: &UpstreamRecord| record.role != Some(order.role);
        let upstream = table.get(*key);
        upstream.is_some_and(|one| is_open(&one.record)) && now.since(*since) < ORDER_TIMEOUT
    });
}

/// Orders an engine to take a role. Sends nothing if the engine is no longer listed,
/// its status can't be read, it already has or is changing its role, or this host no
/// longer holds the lease.
async fn order_role(duties: &Duties, order: RoleOrder) {
    let record = {
        let table = duties.state.table.borrow();
        table.get(order.upstream).map(|one| one.record.clone())
    };
    let Some(record) = record else {
        return;
    };
    if !takes_request(duties, order.upstream) {
        return;
    }
    let Some(status) = engine_status(duties, order.upstream, &record).await else {
        return;
    };
    if status.is_changing || status.role == order.role {
        return;
    }
    let Some(holder) = duties.holder() else {
        return;
    };
    if !takes_request(duties, order.upstream) {
        return;
    }
    let engine_order = EngineOrder {
        engine: record.id.clone(),
        address: record.address,
        role: order.role,
        order_count: status.order_count,
    };
    let request = engine_request(&holder, &engine_order);
    let endpoint = Endpoint::Upstream(order.upstream);
    let sent_at = clock::now();
    let response = call(
        &duties.state.pool,
        endpoint,
        record.address,
        request,
        CallLimits::control(DUTY_TIMEOUT),
    )
    .await;
    if let Ok(response) = &response {
        record_announcements(&duties.state, &record, &response.head, sent_at);
    }
    let reply: Result<OrderResponse, String> = response
        .map(|response| decode_order_response(response.status))
        .map_err(|error| error.to_string());
    // Logged also if the engine refused the order or didn't respond; `reply` tells.
    tracing::info!(
        engine = record.id.0,
        role = order.role.name(),
        order_count = status.order_count,
        fencing_number = holder.fencing_token,
        ?reply,
        "call with a role order ended"
    );
}

/// Counts a call to an engine against this host's share of its rate. Returns whether the
/// call may be made.
fn takes_request(duties: &Duties, engine: UpstreamKey) -> bool {
    let mut table = duties.state.table.borrow_mut();
    table.take_rate_share(clock::now(), engine)
}

async fn engine_status(
    duties: &Duties,
    key: UpstreamKey,
    record: &UpstreamRecord,
) -> Option<EngineStatus> {
    let request = status_request(record.address);
    let endpoint = Endpoint::Upstream(key);
    let sent_at = clock::now();
    match call(
        &duties.state.pool,
        endpoint,
        record.address,
        request,
        CallLimits::control(DUTY_TIMEOUT),
    )
    .await
    {
        Ok(response) => {
            record_announcements(&duties.state, record, &response.head, sent_at);
            decode_status(&response.body)
        }
        Err(error) => {
            tracing::warn!(engine = record.id.0, %error, "failed to read the engine's status");
            None
        }
    }
}
