//! Duties that one host at a time performs: reporting usage, ordering upstreams
//! and assigning roles to engines.
//!
//! The holder of a lease in the store performs the duties. A call with an effect
//! is made only if the grant lasts longer than the call's timeout. If no response
//! comes in time, the connection is reset, so that no call of a former holder can
//! arrive after its lease has expired.

mod fleet;
mod lease;
mod scale;
mod usage;

use crate::clock;
use crate::state::GatewayState;
use lagoonlift_adapter::duty::{DutySet, LeaseHolder};
use lagoonlift_steward::{BootTime, Grant};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Timeout of a call that performs a duty.
pub(crate) const DUTY_TIMEOUT: Duration = Duration::from_millis(600);

/// State that the duties of a process share.
pub(crate) struct Duties {
    state: Rc<GatewayState>,
    address: SocketAddr,
    enabled: DutySet,
    grant: Cell<Option<Grant>>,
}

impl Duties {
    /// Returns the host name and fencing token for a call made now, or `None` if
    /// this host holds no lease or its grant might end before the call does.
    pub(crate) fn holder(&self) -> Option<LeaseHolder> {
        let grant = self.grant.get()?;
        let latest = BootTime::now() + DUTY_TIMEOUT;
        let is_valid = latest < grant.deadline && !self.state.is_stopping();
        is_valid.then(|| LeaseHolder {
            host: self.state.settings.host.name.clone(),
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
    });
    let start_id = clock::system_unix_us();
    spawn_local(lease::maintain(Rc::clone(&duties), start_id));
    if duties.enabled.reports_usage {
        spawn_local(usage::publish(Rc::clone(state), start_id));
        spawn_local(usage::report(Rc::clone(&duties)));
    }
    spawn_local(fleet::manage(duties));
}
