//! Starts and stops the tasks of the process.

use crate::clock;
use crate::crash_monitor;
use crate::duty;
use crate::handler::RequestSender;
use crate::host_paths;
use crate::metrics::GatewayMetrics;
use crate::peers;
use crate::quarantine_store;
use crate::reload;
use crate::server;
use crate::state::GatewayState;
use crate::stream_store;
use crate::version_store;
use crate::watcher;
use eyre::Result;
use lagoonlift_settings::GatewaySettings;
use lagoonlift_telemetry::Metrics;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval of the periodic maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for the load balancer to observe that this host isn't ready any more.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_600);

/// Margin between the end of draining and the time when the process is killed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(250);

/// Time before the end of draining at which requests in flight are answered that have no
/// response yet, since they would be cut with the process.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(250);

/// Least number of times that the notice fits into the grace, so that a short one leaves time for
/// the requests that come meanwhile.
const MIN_NOTICES_PER_GRACE: u32 = 2;

/// Polling interval for open connections while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running gateway. It must be used within a `LocalSet`.
pub struct Gateway {
    state: Rc<GatewayState>,
    caller_addr: SocketAddr,
    readiness_addr: SocketAddr,
    closing: watch::Sender<bool>,
}

impl Gateway {
    /// Opens the listeners and spawns all tasks. `file` is the file that the
    /// settings were read from; it is read again when it changes.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be opened.
    pub fn start(settings: GatewaySettings, file: PathBuf, metrics: Metrics) -> Result<Self> {
        let callers = server::listen(settings.listen.callers)?;
        let readiness = server::listen(settings.listen.readiness)?;
        let metrics_listener = settings.listen.metrics.map(server::listen).transpose()?;
        let host_listener = settings.listen.peers.and_then(listen_for_hosts);
        let caller_addr = callers.local_addr()?;
        let readiness_addr = readiness.local_addr()?;
        let state = GatewayState::new(settings, GatewayMetrics::new(metrics));
        let (closing, closing_seen) = watch::channel(false);
        if let Some(listener) = host_listener {
            spawn_local(server::serve_requests(
                Rc::clone(&state),
                listener,
                closing_seen.clone(),
                RequestSender::Host,
            ));
        }
        spawn_local(server::serve_requests(
            Rc::clone(&state),
            callers,
            closing_seen,
            RequestSender::Caller,
        ));
        spawn_local(host_paths::maintain(Rc::clone(&state)));
        spawn_local(server::serve_admin(Rc::clone(&state), readiness));
        if let Some(metrics_listener) = metrics_listener {
            spawn_local(server::serve_admin(Rc::clone(&state), metrics_listener));
        }
        spawn_local(watcher::follow_config(Rc::clone(&state)));
        spawn_local(watcher::renew_confirmation(Rc::clone(&state)));
        spawn_local(watcher::follow_upstreams(Rc::clone(&state)));
        spawn_local(run_maintenance(Rc::clone(&state)));
        spawn_local(quarantine_store::restore_at_start(Rc::clone(&state)));
        spawn_local(version_store::maintain(Rc::clone(&state)));
        spawn_local(stream_store::restore_at_start(Rc::clone(&state)));
        spawn_local(stream_store::maintain(Rc::clone(&state)));
        duty::start(&state);
        match state.settings.listen.peers {
            Some(address) => spawn_local(peers::exchange(Rc::clone(&state), address)),
            None => spawn_local(peers::quota::keep_quotas(Rc::clone(&state), None)),
        };
        spawn_local(reload::follow_settings(Rc::clone(&state), file));
        tracing::info!(
            host = state.settings.host.name,
            data_centre = state.settings.host.data_centre,
            callers = %state.settings.listen.callers,
            "gateway started"
        );
        Ok(Self {
            state,
            caller_addr,
            readiness_addr,
            closing,
        })
    }

    /// Returns the bound address of the listener for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Returns the bound address of the listener for readiness checks.
    pub fn readiness_addr(&self) -> SocketAddr {
        self.readiness_addr
    }

    /// Waits for `requested`, stops accepting callers, finishes the requests in
    /// flight and returns.
    pub async fn stop(self, requested: impl Future<Output = ()>) {
        requested.await;
        let kill_deadline = clock::now() + self.state.settings.bounds.shutdown_timeout;
        let drain_deadline = kill_deadline - SHUTDOWN_MARGIN;
        let answered_by = drain_deadline - FINAL_ANSWER_TIME;
        self.state.begin_stop(answered_by);
        tracing::info!(in_flight = self.state.in_flight(), "stopping");
        let grace = self.state.settings.bounds.shutdown_timeout;
        sleep(BALANCER_NOTICE_TIME.min(grace / MIN_NOTICES_PER_GRACE)).await;
        // No new connection is accepted, idle connections close, and the others
        // close after their response. Once all have closed, ending the process
        // can't truncate a response.
        if self.closing.send(true).is_err() {
            tracing::debug!("the listener for callers has already closed");
        }
        // The connections that were just established are counted after the first sleep.
        loop {
            sleep(DRAIN_POLL_INTERVAL).await;
            if clock::now() >= answered_by {
                self.state.requests_end.notify_waiters();
            }
            if self.state.connections() == 0 || clock::now() >= drain_deadline {
                break;
            }
        }
        let is_published = match self.state.settings.duties {
            Some(_) => self.state.final_publication.run().await,
            None => false,
        };
        tracing::info!(in_flight = self.state.in_flight(), is_published, "stopped");
    }
}

/// Opens the listener for requests of other hosts. Without it this host serves its callers, and
/// others that are cut off use other hosts.
fn listen_for_hosts(address: SocketAddr) -> Option<TcpListener> {
    match server::listen(address) {
        Ok(listener) => Some(listener),
        Err(error) => {
            tracing::error!(%address, %error, "no requests are taken from other hosts");
            None
        }
    }
}

/// Runs the periodic maintenance until the process ends.
async fn run_maintenance(state: Rc<GatewayState>) {
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        let now = clock::now();
        let removed = state.table.borrow_mut().remove_missing(now);
        if !removed.is_empty() {
            tracing::info!(
                gone = removed.len(),
                "removed upstreams that were not listed after a store outage"
            );
        }
        state.close_idle_connections(&removed);
        state.update_rate_sharing(now);
        state.update_changing_roles();
        crash_monitor::decide(&state);
        // Corrects this process's own estimate of the time, not the system clock.
        if let Some(correction_us) = state.wall_clock.borrow_mut().synchronize(now) {
            tracing::warn!(
                correction_us,
                "this process's wall clock estimate corrected to the median of the hosts"
            );
        }
        state.pool.close_expired();
        state.held.wake_waiting();
        let age = state.confirmation().age(now);
        state.metrics.set_confirmation_age(age.unwrap_or_default());
        state
            .metrics
            .set_store_restores(state.store.era().restores());
        let quarantine = state.crash_quarantine.borrow();
        state.metrics.set_quarantined(quarantine.active(now));
        drop(quarantine);
        let limited = state.table.borrow().limited_count();
        state.metrics.set_limited_upstreams(limited);
        state.record_gauges();
    }
}
