//! Duties that one host at a time performs: reporting usage, requesting the number
//! of upstreams of each service from the platform, assigning roles to engines, and
//! storing what is in quarantine.
//!
//! The holder of a lease in the store performs the duties. A call with an effect
//! is made only if the grant lasts for more than another `DUTY_TIMEOUT`. That
//! timeout applies once to opening the connection, where it is capped at 400 ms,
//! and once to the exchange, so a call that opens a connection can take up to 1 s,
//! which is longer than the time that was checked. If no response comes in time,
//! the connection is reset, so that the kernel can't deliver the call of a former
//! holder after its lease has expired.

mod fleet;
mod fleet_plan;
mod lease;
mod quarantine;
mod scale;
mod usage;
mod usage_report;

use crate::state::GatewayState;
use lagoonlift_adapter::duty::{DutySet, LeaseHolder};
use lagoonlift_policy::dispatch::StoreEra;
use lagoonlift_steward::{BootTime, Grant};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Timeout of a call that performs a duty. It applies separately to opening the
/// connection and to the exchange; see `connection::call`.
pub(crate) const DUTY_TIMEOUT: Duration = Duration::from_millis(600);

/// State that the duties of a process share.
pub(crate) struct Duties {
    state: Rc<GatewayState>,
    address: SocketAddr,
    enabled: DutySet,
    grant: Cell<Option<Grant>>,
    /// Era of the store in which the grant was obtained.
    grant_era: Cell<Option<StoreEra>>,
}

impl Duties {
    /// Returns the host name and fencing token for a call made now, or `None` if
    /// this host holds no lease, its grant ends within `DUTY_TIMEOUT`, or it is
    /// stopping. A call that first opens a connection may end later than that.
    pub(crate) fn holder(&self) -> Option<LeaseHolder> {
        let grant = self.grant.get()?;
        if self.grant_era.get() != self.state.store.era().latest() {
            // The lease was lost with the restore of the store.
            return None;
        }
        let latest = BootTime::now() + DUTY_TIMEOUT;
        let is_valid = latest < grant.deadline && !self.state.is_stopping();
        is_valid.then(|| LeaseHolder {
            host: self.state.settings.host.name.clone(),
            // The fencing token in calls is the epoch in lease records and logs.
            fencing_token: grant.epoch.0,
        })
    }
}

/// Spawns the tasks of the duties, including the publication of usage counts,
/// which every host does.
pub(crate) fn start(state: &Rc<GatewayState>) {
    let Some(settings) = &state.settings.duties else {
        tracing::info!("no duties are configured for this deployment");
        return;
    };
    let duties = Rc::new(Duties {
        state: Rc::clone(state),
        address: settings.address,
        enabled: DutySet::decode(&settings.names),
        grant: Cell::new(None),
        grant_era: Cell::new(None),
    });
    let started_unix_us = state.started_unix_us;
    spawn_local(lease::maintain(Rc::clone(&duties), started_unix_us));
    if duties.enabled.reports_usage {
        spawn_local(usage::publish_counts(Rc::clone(state), started_unix_us));
        spawn_local(usage_report::report(Rc::clone(&duties)));
    }
    spawn_local(quarantine::sync(Rc::clone(&duties)));
    spawn_local(fleet::manage(duties));
}
