//! Hosts, stand-ins, proxies and callers of one run.

use crate::checks::RunReport;
use crate::faults::{Fault, Link, RunnerRole, Schedule, Step, roles};
use crate::host::{HostProcess, Surroundings};
use crate::load::{self, CallerKind, CallerLog};
use crate::proxy::{FaultProxy, LinkState};
use crate::support::fleet;
use crate::support::{DutyStandin, StoreStandin, UpstreamStandin, configuration, eventually};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const HOSTS: usize = 3;

/// How long faults begin.
const FAULT_TIME: Duration = Duration::from_secs(6);

/// When the key of one workspace is withdrawn.
const WITHDRAWN_AFTER: Duration = Duration::from_secs(2);

/// Time for the last duties and answers after the faults.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Longest time that a host takes to stop.
const STOP_TIME: Duration = Duration::from_secs(7);

/// Everything of one run.
pub(crate) struct World {
    schedule: Schedule,
    store: StoreStandin,
    duties: DutyStandin,
    runners: Vec<UpstreamStandin>,
    store_link: FaultProxy,
    duty_link: FaultProxy,
    runner_links: Vec<FaultProxy>,
    hosts: Vec<HostProcess>,
    log: Arc<CallerLog>,
    callers: JoinSet<()>,
    withdrawn_at: Option<Instant>,
    open: Vec<(Instant, Fault)>,
}

impl World {
    /// Starts everything and waits until all hosts are ready.
    pub(crate) async fn start(seed: u64) -> Self {
        let store = StoreStandin::start().await;
        let duties = DutyStandin::start().await;
        let mut runners = Vec::new();
        let mut runner_links = Vec::new();
        for (number, role) in roles().into_iter().enumerate() {
            let runner = UpstreamStandin::start(role.behaviour()).await;
            let link = FaultProxy::start(runner.address).await;
            store.put("servers", &format!("p{number}"), entry(role, link.address));
            runners.push(runner);
            runner_links.push(link);
        }
        store.put("config", "main", configuration(1));
        let store_link = FaultProxy::start(store.address).await;
        let duty_link = FaultProxy::start(duties.address).await;
        let surroundings = Surroundings {
            store: store_link.address,
            duties: duty_link.address,
        };
        let hosts: Vec<HostProcess> = (0..HOSTS)
            .map(|number| HostProcess::start(number, surroundings))
            .collect();
        let mut world = Self {
            schedule: Schedule::new(seed, HOSTS),
            store,
            duties,
            runners,
            store_link,
            duty_link,
            runner_links,
            hosts,
            log: Arc::default(),
            callers: JoinSet::new(),
            withdrawn_at: None,
            open: Vec::new(),
        };
        world.wait_until_serving("first").await;
        for host in &world.hosts {
            for key in load::keys() {
                for caller in [CallerKind::Plain, CallerKind::Stream] {
                    let log = Arc::clone(&world.log);
                    let calls = load::call(log, host.callers, key, caller);
                    world.callers.spawn(calls);
                }
            }
        }
        world
    }

    /// Plays the faults.
    pub(crate) async fn play(&mut self) {
        let start = Instant::now();
        while start.elapsed() < FAULT_TIME {
            let step = self.schedule.next_step();
            sleep(step.pause).await;
            self.end_faults(Instant::now());
            if self.withdrawn_at.is_none() && start.elapsed() > WITHDRAWN_AFTER {
                self.store.put("config", "main", configuration(2));
                self.withdrawn_at = Some(Instant::now());
            }
            self.begin(step);
        }
    }

    /// Ends all faults, checks that the hosts serve again and stop in order, and
    /// returns what was seen.
    pub(crate) async fn finish(mut self) -> RunReport {
        let latest = Instant::now() + Duration::from_secs(60);
        self.end_faults(latest);
        for host in &mut self.hosts {
            if host.ended().is_some() {
                host.launch();
            }
        }
        self.wait_until_serving("again").await;
        sleep(SETTLE_TIME).await;
        for host in &self.hosts {
            host.terminate();
        }
        let stopped_by = Instant::now() + STOP_TIME;
        let mut unclean_stops = 0;
        for host in &mut self.hosts {
            let mut status = host.ended();
            while status.is_none() && Instant::now() < stopped_by {
                sleep(Duration::from_millis(20)).await;
                status = host.ended();
            }
            unclean_stops += usize::from(!status.is_some_and(|status| status.success()));
        }
        self.log.end();
        while self.callers.join_next().await.is_some() {}
        RunReport {
            attempts: self.log.attempts(),
            received: self.runners.iter().flat_map(|one| one.received()).collect(),
            usage: self.duties.calls("/usage"),
            withdrawn_at: self.withdrawn_at,
            unclean_stops,
        }
    }

    async fn wait_until_serving(&self, round: &str) {
        for (number, host) in self.hosts.iter().enumerate() {
            let id = format!("{round}-{number}");
            eventually("a host serves", || load::is_serving(host.callers, &id)).await;
            let readiness = TcpStream::connect(host.readiness).await;
            readiness.expect("the balancer's port is open");
        }
    }

    fn begin(&mut self, step: Step) {
        match &step.fault {
            Fault::Freeze(host) => self.hosts[*host].freeze(true),
            Fault::Kill(host) => self.hosts[*host].kill(),
            Fault::Restart(host) if self.hosts[*host].ended().is_none() => {
                self.hosts[*host].terminate();
            }
            Fault::Restart(_) => {}
            Fault::Harm(link, state) => self.link(*link).set(*state),
            Fault::Reset(link) => self.link(*link).reset(),
            Fault::StoreDown => self.store.is_down.store(true, Ordering::SeqCst),
            Fault::Runner(runner, behaviour) => self.runners[*runner].behave(behaviour.clone()),
        }
        self.open.push((Instant::now() + step.length, step.fault));
    }

    /// Ends the faults that are over by `now`.
    fn end_faults(&mut self, now: Instant) {
        let open = std::mem::take(&mut self.open);
        let (over, lasting): (Vec<_>, Vec<_>) = open.into_iter().partition(|(end, _)| *end <= now);
        self.open = lasting;
        for (_, fault) in over {
            match fault {
                Fault::Freeze(host) => self.hosts[host].freeze(false),
                Fault::Kill(host) | Fault::Restart(host) => self.start_again(host),
                Fault::Harm(link, _) => self.link(link).set(LinkState::Sound),
                Fault::Reset(_) => {}
                Fault::StoreDown => self.store.is_down.store(false, Ordering::SeqCst),
                Fault::Runner(runner, _) => {
                    self.runners[runner].behave(roles()[runner].behaviour());
                }
            }
        }
    }

    /// Starts a host that was killed; one that is still stopping is killed first,
    /// as the platform does.
    fn start_again(&mut self, host: usize) {
        self.hosts[host].kill();
        self.hosts[host].launch();
    }

    fn link(&self, link: Link) -> &FaultProxy {
        match link {
            Link::Store => &self.store_link,
            Link::Duties => &self.duty_link,
            Link::Runner(runner) => &self.runner_links[runner],
        }
    }
}

/// Returns a runner's entry in the store.
fn entry(role: RunnerRole, address: SocketAddr) -> Value {
    let (service, stage) = match role {
        RunnerRole::Plain => ("app", None),
        RunnerRole::Reader => ("llm", Some("prefill")),
        RunnerRole::Generator => ("llm", Some("decode")),
    };
    fleet::upstream_record(service, address, stage, "ready")
}
