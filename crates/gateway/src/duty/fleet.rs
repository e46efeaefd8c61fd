//! Manages the fleet while this host holds the lease: orders upstreams and assigns
//! roles to engines.

use super::scale::ScaleOrders;
use super::{DUTY_TIMEOUT, Duties};
use crate::clock;
use crate::connection::{Endpoint, call};
use lagoonlift_adapter::duty::{EngineOrder, OrderResponse, decode_order_response, engine_request};
use lagoonlift_adapter::upstream::{EngineStatus, decode_status, status_request};
use lagoonlift_policy::dispatch::{RoleOrder, RolePlanner, Service, UpstreamRecord};
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

/// Share of a service's engines that may change their role at the same time.
const MAX_CHANGING_SHARE: f64 = 0.34;

/// Orders that this host has sent and whose effect it has not yet observed.
#[derive(Default)]
struct OpenOrders {
    scale: ScaleOrders,
    /// Role orders that are open, with the time when each was sent.
    roles: HashMap<UpstreamKey, (RoleOrder, Timestamp)>,
}

/// Manages the fleet until the process ends; idles without the lease.
pub(crate) async fn manage(duties: Rc<Duties>) {
    let mut open = OpenOrders::default();
    loop {
        sleep(POLL_INTERVAL).await;
        if duties.holder().is_none() {
            open = OpenOrders::default();
            duties.state.ordered_role_changes.borrow_mut().clear();
            continue;
        }
        let Some(config) = duties.state.config() else {
            continue;
        };
        for service in config.services() {
            if duties.enabled.orders_upstreams {
                open.scale.order(&duties, service).await;
            }
            if service.engine.is_some() {
                order_roles(&duties, service, &mut open).await;
            }
        }
    }
}

async fn order_roles(duties: &Duties, service: &Service, open: &mut OpenOrders) {
    remove_closed_orders(duties, open);
    let orders = {
        let table = duties.state.table.borrow();
        let open: Vec<RoleOrder> = open.roles.values().map(|(order, _)| *order).collect();
        RolePlanner::new().orders(&table, &service.name, &open)
    };
    let changing = open.roles.len();
    let room = max_changing(duties, service).saturating_sub(changing);
    for order in orders.into_iter().take(room) {
        open.roles.insert(order.upstream, (order, clock::now()));
        order_role(duties, order).await;
    }
    *duties.state.ordered_role_changes.borrow_mut() = open.roles.keys().copied().collect();
    duties.state.plan_roles();
}

/// Returns how many engines may change their role at the same time. Before this
/// host has received a request, all of them may.
fn max_changing(duties: &Duties, service: &Service) -> usize {
    let table = duties.state.table.borrow();
    let of_service = table
        .iter()
        .filter(|(_, one)| one.record.service == service.name);
    let engines = of_service.count();
    match duties.state.has_served() {
        true => ((engines as f64 * MAX_CHANGING_SHARE).ceil() as usize).max(1),
        false => engines,
    }
}

/// Removes orders that were carried out, whose engine is no longer listed, or that
/// have timed out.
fn remove_closed_orders(duties: &Duties, open: &mut OpenOrders) {
    let now = clock::now();
    let table = duties.state.table.borrow();
    open.roles.retain(|key, (order, since)| {
        let is_open = |record: &UpstreamRecord| record.role != Some(order.role);
        let upstream = table.get(*key);
        upstream.is_some_and(|one| is_open(&one.record)) && now.since(*since) < ORDER_TIMEOUT
    });
}

async fn order_role(duties: &Duties, order: RoleOrder) {
    let record = {
        let table = duties.state.table.borrow();
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
    let endpoint = Endpoint::Upstream(order.upstream);
    let response = call(
        &duties.state.pool,
        endpoint,
        record.address,
        request,
        DUTY_TIMEOUT,
    )
    .await;
    let reply: Result<OrderResponse, String> = response
        .map(|response| decode_order_response(response.status))
        .map_err(|error| error.to_string());
    tracing::info!(
        engine = record.id.0,
        role = ?order.role,
        order_count = status.order_count,
        fencing_number = holder.fencing_token,
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
    let endpoint = Endpoint::Upstream(key);
    match call(
        &duties.state.pool,
        endpoint,
        record.address,
        request,
        DUTY_TIMEOUT,
    )
    .await
    {
        Ok(response) => decode_status(&response.body),
        Err(error) => {
            tracing::warn!(engine = record.id.0, %error, "failed to read the engine's status");
            None
        }
    }
}
