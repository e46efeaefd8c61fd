//! Starts the parts of the process and stops them.

use crate::clock;
use crate::duty;
use crate::host::Host;
use crate::metrics::GatewayMetrics;
use crate::peers;
use crate::reload;
use crate::server;
use crate::watcher;
use eyre::Result;
use lagoonlift_settings::GatewaySettings;
use lagoonlift_telemetry::Metrics;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time between two rounds of housekeeping.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time for the balancer to notice that this host takes no new callers.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);

/// Kept back from the time after which the process is killed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(250);

/// Time between two looks at what is still under way.
const SHUTDOWN_INTERVAL: Duration = Duration::from_millis(50);

/// A running gateway. Has to be used on a `LocalSet`.
pub struct Gateway {
    host: Rc<Host>,
    caller_addr: SocketAddr,
    readiness_addr: SocketAddr,
    closing: watch::Sender<bool>,
}

impl Gateway {
    /// Opens the listeners and starts all parts. `file` is where the settings
    /// came from, and is read again when it changes.
    ///
    /// # Errors
    ///
    /// Fails when a listener can't be opened.
    pub fn start(settings: GatewaySettings, file: PathBuf, metrics: Metrics) -> Result<Self> {
        let callers = server::listen(settings.listen.callers)?;
        let readiness = server::listen(settings.listen.readiness)?;
        let scraper = settings.listen.metrics.map(server::listen).transpose()?;
        let caller_addr = callers.local_addr()?;
        let readiness_addr = readiness.local_addr()?;
        let host = Host::new(settings, GatewayMetrics::new(metrics));
        let (closing, closing_seen) = watch::channel(false);
        spawn_local(server::serve_callers(
            Rc::clone(&host),
            callers,
            closing_seen,
        ));
        spawn_local(server::serve_admin(Rc::clone(&host), readiness));
        if let Some(scraper) = scraper {
            spawn_local(server::serve_admin(Rc::clone(&host), scraper));
        }
        spawn_local(watcher::follow_config(Rc::clone(&host)));
        spawn_local(watcher::keep_proof(Rc::clone(&host)));
        spawn_local(watcher::follow_upstreams(Rc::clone(&host)));
        spawn_local(keep_up(Rc::clone(&host)));
        duty::start(&host);
        if let Some(address) = host.settings.listen.peers {
            spawn_local(peers::exchange(Rc::clone(&host), address));
        }
        spawn_local(reload::follow_settings(Rc::clone(&host), file));
        tracing::info!(
            host = host.settings.host.name,
            data_centre = host.settings.host.data_centre,
            callers = %host.settings.listen.callers,
            "gateway started"
        );
        Ok(Self {
            host,
            caller_addr,
            readiness_addr,
            closing,
        })
    }

    /// Returns the address for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Returns the address for the balancer's questions.
    pub fn readiness_addr(&self) -> SocketAddr {
        self.readiness_addr
    }

    /// Takes no new callers, finishes what is under way and returns.
    pub async fn stop(self, asked: impl Future<Output = ()>) {
        asked.await;
        let killed_at = clock::now() + self.host.settings.bounds.shutdown_timeout;
        let last_moment = killed_at - SHUTDOWN_MARGIN;
        self.host.begin_stop();
        tracing::info!(in_flight = self.host.in_flight(), "stopping");
        sleep(NOTICE_TIME).await;
        // No new connection is accepted, idle ones close, and the others close
        // after their answer. Only then is nothing left that could be cut.
        if self.closing.send(true).is_err() {
            tracing::debug!("no listener is open");
        }
        while self.host.connections() > 0 && clock::now() < last_moment {
            sleep(SHUTDOWN_INTERVAL).await;
        }
        tracing::info!(in_flight = self.host.in_flight(), "stopped");
    }
}

/// Housekeeping, for ever.
async fn keep_up(host: Rc<Host>) {
    loop {
        sleep(UPKEEP_INTERVAL).await;
        let now = clock::now();
        let gone = host.table.borrow_mut().remove_missing(now);
        if !gone.is_empty() {
            tracing::info!(
                gone = gone.len(),
                "upstreams did not come back after an outage"
            );
        }
        host.forget_upstreams(&gone);
        host.plan_roles();
        if let Some(correction_us) = host.wall.borrow_mut().synchronize(now) {
            tracing::warn!(correction_us, "the time of day was set by the other hosts");
        }
        host.pool.close_expired();
        let age = host.proof().age(now);
        host.metrics.set_proof_age(age.unwrap_or_default());
        host.record_resources();
    }
}
