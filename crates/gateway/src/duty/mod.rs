//! Duties that one host at a time has: reporting usage, ordering upstreams and
//! giving engines their roles.
//!
//! The right to act is a lease in the store. Every call that acts is made only
//! while the grant outlasts the longest time that the call may take, and its
//! connection is reset afterwards if no answer came, so that nothing of a former
//! holder arrives later.

mod fleet;
mod lease;
mod scale;
mod usage;

use crate::clock;
use crate::host::Host;
use lagoonlift_adapter::duty::{DutyHolder, DutySet};
use lagoonlift_steward::{BootTime, Grant};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Longest time that a call of a duty may take.
pub(crate) const DUTY_TIMEOUT: Duration = Duration::from_millis(600);

/// What the duties of a process share.
pub(crate) struct Duties {
    host: Rc<Host>,
    address: SocketAddr,
    enabled: DutySet,
    grant: Cell<Option<Grant>>,
}

impl Duties {
    /// Returns under which name and number a call may be made now; `None` if the
    /// grant might end before the call.
    pub(crate) fn holder(&self) -> Option<DutyHolder> {
        let grant = self.grant.get()?;
        let latest = BootTime::now() + DUTY_TIMEOUT;
        let is_valid = latest < grant.deadline && !self.host.is_stopping();
        is_valid.then(|| DutyHolder {
            host: self.host.settings.host.name.clone(),
            fencing_number: grant.epoch.0,
        })
    }
}

/// Starts the duties, and the part of them that every host has.
pub(crate) fn start(host: &Rc<Host>) {
    let Some(settings) = &host.settings.duties else {
        tracing::info!("this deployment has no duties");
        return;
    };
    let duties = Rc::new(Duties {
        host: Rc::clone(host),
        address: settings.address,
        enabled: DutySet::decode(&settings.names),
        grant: Cell::new(None),
    });
    let start_id = clock::system_unix_us();
    spawn_local(lease::maintain(Rc::clone(&duties), start_id));
    if duties.enabled.reports_usage {
        spawn_local(usage::publish(Rc::clone(host), start_id));
        spawn_local(usage::report(Rc::clone(&duties)));
    }
    spawn_local(fleet::manage(duties));
}
