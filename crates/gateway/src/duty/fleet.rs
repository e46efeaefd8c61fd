//! Orders upstreams and gives engines their roles, while this host holds the
//! lease.

use super::{DUTY_TIMEOUT, Duties};
use crate::clock;
use crate::connection::{PeerKey, call};
use lagoonlift_adapter::duty::{
    EngineOrder, OrderReply, ScaleOrder, decode_order_reply, engine_request, scale_request,
};
use lagoonlift_adapter::runner::{EngineStatus, decode_status, status_request};
use lagoonlift_adapter::store::{ReadKind, StoreError, StoreObject, WriteCondition};
use lagoonlift_policy::dispatch::{
    FleetTarget, InitialFleet, RoleOrder, RolePlan, Service, SpendingPlan, UpstreamRecord, fleet_of,
};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use serde::Deserialize;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Kind of the objects that hold what a service's fleet was before the first
/// order.
const PLAN_KIND: &str = "fleet-plans";

/// Time between two looks at the fleet.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which an order for upstreams that hasn't come true is repeated.
const SCALE_INTERVAL: Duration = Duration::from_secs(6);

/// Time after which an order for upstreams that was refused is repeated.
const SCALE_RETRY: Duration = Duration::from_millis(1_500);

/// Time after which an engine that was given an order and shows nothing of it
/// may be given another. An order without an answer may be carried out within
/// this time.
const ORDER_SETTLE: Duration = Duration::from_secs(13);

/// Part of the engines that may be away for a role change at once.
const AWAY_SHARE: f64 = 0.34;

/// What this host has ordered and not yet seen.
#[derive(Default)]
struct OpenOrders {
    /// What each service's fleet was before the first order.
    initial: HashMap<String, InitialFleet>,
    /// When a target may be ordered again.
    scale: HashMap<(String, String, bool), ScaleState>,
    /// Engines with an order under way, and since when.
    roles: HashMap<UpstreamKey, (RoleOrder, Timestamp)>,
}

/// The last order for one target.
struct ScaleState {
    count: u32,
    again_at: Timestamp,
}

/// Looks after the fleet, for ever.
pub(crate) async fn order(duties: Rc<Duties>) {
    let mut open = OpenOrders::default();
    loop {
        sleep(LOOK_INTERVAL).await;
        if duties.holder().is_none() {
            open = OpenOrders::default();
            continue;
        }
        let Some(config) = duties.host.config() else {
            continue;
        };
        for service in config.services() {
            if duties.set.orders_upstreams {
                order_upstreams(&duties, service, &mut open).await;
            }
            if service.engine.is_some() {
                order_roles(&duties, service, &mut open).await;
            }
        }
    }
}

async fn order_upstreams(duties: &Duties, service: &Service, open: &mut OpenOrders) {
    let Some(scale) = &service.scale else {
        return;
    };
    if !open.initial.contains_key(&service.name) {
        match initial_fleet(duties, &service.name).await {
            Ok(initial) => {
                open.initial.insert(service.name.clone(), initial);
            }
            Err(error) => {
                tracing::warn!(service = service.name, %error, "no plan for the upstreams");
                return;
            }
        }
    }
    let targets = SpendingPlan::new().targets(&open.initial[&service.name], scale);
    for target in targets {
        order_target(duties, service, target, open).await;
    }
}

/// Returns what the fleet was before the first order, which is written down then.
async fn initial_fleet(duties: &Duties, service: &str) -> Result<InitialFleet, StoreError> {
    let store = &duties.host.store;
    if let Some(object) = store.read(PLAN_KIND, service, ReadKind::Exact).await? {
        return parse_plan(&object);
    }
    let initial = fleet_of(&duties.host.table.borrow(), service);
    let written = store.write(PLAN_KIND, service, &initial, WriteCondition::Absent);
    match written.await {
        Ok(_) => Ok(initial),
        Err(StoreError::Conflict(Some(current))) => parse_plan(&current),
        Err(error) => Err(error),
    }
}

fn parse_plan(object: &StoreObject) -> Result<InitialFleet, StoreError> {
    InitialFleet::deserialize(&object.contents)
        .map_err(|error| StoreError::Malformed(error.to_string()))
}

async fn order_target(
    duties: &Duties,
    service: &Service,
    target: FleetTarget,
    open: &mut OpenOrders,
) {
    let now = clock::now();
    let key = (
        service.name.clone(),
        target.data_centre.clone(),
        target.is_spot,
    );
    let present = count_present(duties, &service.name, &target);
    let is_due = match open.scale.get(&key) {
        None => true,
        Some(last) => {
            now >= last.again_at && (last.count != target.count || present != target.count)
        }
    };
    let Some(holder) = duties.holder().filter(|_| is_due) else {
        return;
    };
    let order = ScaleOrder {
        service: service.name.clone(),
        data_centre: target.data_centre.clone(),
        count: target.count,
        is_spot: target.is_spot,
    };
    let request = scale_request(duties.address, &holder, &order);
    let peer = PeerKey::Address(duties.address);
    let answer = call(
        &duties.host.pool,
        peer,
        duties.address,
        request,
        DUTY_TIMEOUT,
    )
    .await;
    let status = answer.map(|answer| answer.status);
    let is_done = matches!(status, Ok(status) if status.is_success());
    tracing::info!(
        ?order,
        present,
        fencing_number = holder.fencing_number,
        ?status,
        "upstreams ordered"
    );
    let pause = match is_done {
        true => SCALE_INTERVAL,
        false => SCALE_RETRY,
    };
    let state = ScaleState {
        count: target.count,
        again_at: clock::now() + pause,
    };
    open.scale.insert(key, state);
}

fn count_present(duties: &Duties, service: &str, target: &FleetTarget) -> u32 {
    let table = duties.host.table.borrow();
    let present = table.iter().filter(|(_, one)| {
        let record = &one.record;
        record.service == service
            && record.data_centre == target.data_centre
            && record.is_spot == target.is_spot
            && record.phase == lagoonlift_policy::dispatch::UpstreamPhase::Serving
    });
    present.count() as u32
}

async fn order_roles(duties: &Duties, service: &Service, open: &mut OpenOrders) {
    settle(duties, open);
    let orders = {
        let table = duties.host.table.borrow();
        let open: Vec<RoleOrder> = open.roles.values().map(|(order, _)| *order).collect();
        RolePlan::new().orders(&table, &service.name, &open)
    };
    let away = open.roles.len();
    let room = most_away(duties, service).saturating_sub(away);
    for order in orders.into_iter().take(room) {
        open.roles.insert(order.upstream, (order, clock::now()));
        order_role(duties, order).await;
    }
}

/// Returns how many engines may be away for a role change at once: all of them
/// before the first request.
fn most_away(duties: &Duties, service: &Service) -> usize {
    let table = duties.host.table.borrow();
    let of_service = table
        .iter()
        .filter(|(_, one)| one.record.service == service.name);
    let engines = of_service.count();
    match duties.host.has_served() {
        true => ((engines as f64 * AWAY_SHARE).ceil() as usize).max(1),
        false => engines,
    }
}

/// Forgets the orders that have come true, whose engine is gone, or that were
/// refused or lost long ago.
fn settle(duties: &Duties, open: &mut OpenOrders) {
    let now = clock::now();
    let table = duties.host.table.borrow();
    open.roles.retain(|key, (order, since)| {
        let is_open = |record: &UpstreamRecord| record.role != Some(order.role);
        let upstream = table.get(*key);
        upstream.is_some_and(|one| is_open(&one.record)) && now.since(*since) < ORDER_SETTLE
    });
}

async fn order_role(duties: &Duties, order: RoleOrder) {
    let record = {
        let table = duties.host.table.borrow();
        table.get(order.upstream).map(|one| one.record.clone())
    };
    let Some(record) = record else {
        return;
    };
    let Some(status) = engine_status(duties, order.upstream, &record).await else {
        return;
    };
    if status.is_changing || status.role == order.role {
        return;
    }
    let Some(holder) = duties.holder() else {
        return;
    };
    let engine_order = EngineOrder {
        engine: record.id.clone(),
        address: record.address,
        role: order.role,
        order_count: status.order_count,
    };
    let request = engine_request(&holder, &engine_order);
    let peer = PeerKey::Upstream(order.upstream);
    let answer = call(
        &duties.host.pool,
        peer,
        record.address,
        request,
        DUTY_TIMEOUT,
    )
    .await;
    let reply: Result<OrderReply, String> = answer
        .map(|answer| decode_order_reply(answer.status))
        .map_err(|error| error.to_string());
    tracing::info!(
        engine = record.id.0,
        role = ?order.role,
        order_count = status.order_count,
        fencing_number = holder.fencing_number,
        ?reply,
        "role ordered"
    );
}

async fn engine_status(
    duties: &Duties,
    key: UpstreamKey,
    record: &UpstreamRecord,
) -> Option<EngineStatus> {
    let request = status_request(record.address);
    let peer = PeerKey::Upstream(key);
    match call(
        &duties.host.pool,
        peer,
        record.address,
        request,
        DUTY_TIMEOUT,
    )
    .await
    {
        Ok(answer) => decode_status(&answer.body),
        Err(error) => {
            tracing::warn!(engine = record.id.0, %error, "the engine's status is unknown");
            None
        }
    }
}
