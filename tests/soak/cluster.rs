//! The hosts, platform stand-ins, proxies and callers of one run.

use crate::announcements::{Disruption, DisruptionTarget};
use crate::checks::RunReport;
use crate::faults::{self, Fault, Link, Schedule, ScheduledFault, UpstreamRole, roles};
use crate::host::{HostProcess, PlatformAddresses};
use crate::load::{self, CallerKind, CallerLog};
use crate::proxy::{FaultProxy, LinkState};
use crate::support::fleet;
use crate::support::upstream::{CrashTrigger, RESTART_TIME};
use crate::support::{
    Behaviour, DutyStandin, KEY, StoreStandin, UpstreamStandin, configuration, eventually,
};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const HOSTS: usize = 3;

/// Callers that take up broken streams at other hosts.
const RESUMING_CALLERS: usize = 4;

/// Callers of each kind and host in the runs with refusals.
const REFUSAL_CALLERS: usize = 4;

/// Length of the phase in which new faults start.
const FAULT_PHASE: Duration = Duration::from_secs(6);

/// Time from the start of the fault phase until the key of one workspace is
/// withdrawn.
const KEY_WITHDRAWAL_DELAY: Duration = Duration::from_secs(2);

/// Time from the start of the fault phase until requests come that crash engines. The
/// hosts have learned by then which blocks are sound.
const CRASH_DELAY: Duration = Duration::from_secs(2);

/// Time from the return of a crashed engine until it is listed again.
const LISTING_DELAY: Duration = Duration::from_millis(50);

/// Time from the start of the fault phase until a release takes the engines of one version
/// off the list and all hosts are killed, and the time until the hosts run again.
const RELEASE_DELAY: Duration = Duration::from_secs(4);
const KILL_DURATION: Duration = Duration::from_millis(300);

/// Time after the faults in which the hosts send their last usage reports and finish
/// requests in flight.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Longest time that a host may take for a graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(7);

/// All processes and stand-ins of one run.
pub(crate) struct SoakCluster {
    seed: u64,
    schedule: Schedule,
    store: StoreStandin,
    duties: DutyStandin,
    upstreams: Vec<UpstreamStandin>,
    store_link: FaultProxy,
    duty_link: FaultProxy,
    upstream_links: Vec<FaultProxy>,
    /// Links of the first host alone to those links, if it has its own.
    first_links: Vec<FaultProxy>,
    hosts: Vec<HostProcess>,
    log: Arc<CallerLog>,
    callers: JoinSet<()>,
    withdrawn_at: Option<Instant>,
    active_faults: Vec<(Instant, Fault)>,
    disruptions: Vec<Disruption>,
    actual_disruptions: Vec<Disruption>,
    crashing_block: Option<&'static str>,
    /// Whether callers send requests that crash engines.
    has_crashing_callers: bool,
    /// Tasks that list crashed engines again.
    listings: JoinSet<()>,
    /// Times at which each upstream stopped draining, as a new incarnation.
    drain_ends: Vec<Vec<Instant>>,
    /// Whether a release has taken the engines of one version off the list.
    is_released: bool,
}

impl SoakCluster {
    /// Starts the stand-ins and hosts, waits until all hosts serve, and starts the
    /// callers.
    pub(crate) async fn start(seed: u64) -> Self {
        Self::start_with(seed, false).await
    }

    /// Starts a run in which upstreams refuse requests in many ways and the first host is cut
    /// off from them at times.
    pub(crate) async fn start_with_refusals(seed: u64) -> Self {
        Self::start_with(seed, true).await
    }

    async fn start_with(seed: u64, has_refusals: bool) -> Self {
        let store = StoreStandin::start().await;
        let duties = DutyStandin::start().await;
        let mut upstreams = Vec::new();
        let mut upstream_links = Vec::new();
        for (number, role) in roles().into_iter().enumerate() {
            let upstream = UpstreamStandin::start(role.behaviour()).await;
            let crashes = upstream.crash_times();
            let link = FaultProxy::start_with_crashes(upstream.address, crashes).await;
            store.put(
                "servers",
                &format!("p{number}"),
                upstream_record_for(seed, number, link.address, 0),
            );
            upstreams.push(upstream);
            upstream_links.push(link);
        }
        store.put("config", "main", configuration(1));
        let store_link = FaultProxy::start(store.address).await;
        let duty_link = FaultProxy::start(duties.address).await;
        let platform = PlatformAddresses {
            store: store_link.address,
            duties: duty_link.address,
        };
        let mut first_links = Vec::new();
        let mut first_platform = platform;
        if has_refusals {
            let mut replacements = Vec::new();
            for link in &upstream_links {
                let first_link = FaultProxy::start(link.address).await;
                let quoted = |address: SocketAddr| format!("\"{address}\"");
                replacements.push((quoted(link.address), quoted(first_link.address)));
                first_links.push(first_link);
            }
            first_platform.store = store.start_view(replacements).await;
        }
        let hosts: Vec<HostProcess> = (0..HOSTS)
            .map(|number| match number {
                0 => HostProcess::start(number, first_platform),
                _ => HostProcess::start(number, platform),
            })
            .collect();
        if faults::has_versions(seed) {
            upstreams[faults::LIMITED_UPSTREAM].state_rate(faults::STATED_RATE);
        }
        let mut cluster = Self {
            seed,
            schedule: Schedule::new(seed, HOSTS),
            store,
            duties,
            upstreams,
            store_link,
            duty_link,
            upstream_links,
            first_links,
            hosts,
            log: Arc::default(),
            callers: JoinSet::new(),
            withdrawn_at: None,
            active_faults: Vec::new(),
            disruptions: Vec::new(),
            actual_disruptions: Vec::new(),
            crashing_block: faults::crashing_block(seed),
            has_crashing_callers: false,
            listings: JoinSet::new(),
            drain_ends: vec![Vec::new(); roles().len()],
            is_released: false,
        };
        cluster.wait_until_serving("first").await;
        for key in load::keys() {
            for caller in [CallerKind::Plain, CallerKind::Stream] {
                let groups = match has_refusals {
                    true => REFUSAL_CALLERS,
                    false => 1,
                };
                (0..groups).for_each(|_| cluster.start_callers(key, caller));
            }
        }
        if faults::has_versions(seed) {
            let hosts: Vec<SocketAddr> = cluster.hosts.iter().map(|host| host.callers).collect();
            for _ in 0..RESUMING_CALLERS {
                let caller = load::run_resuming_caller(Arc::clone(&cluster.log), hosts.clone());
                cluster.callers.spawn(caller);
            }
        }
        if let Some(block) = cluster.crashing_block {
            cluster.let_upstreams_crash(block);
            cluster.start_callers(KEY, CallerKind::ResumableStream);
        }
        cluster
    }

    /// Starts one caller of each host.
    fn start_callers(&mut self, key: &'static str, caller: CallerKind) {
        for host in &self.hosts {
            let log = Arc::clone(&self.log);
            let caller_task = load::run_caller(log, host.callers, key, caller);
            self.callers.spawn(caller_task);
        }
    }

    /// Lets the decode engines crash on a prefix block and the plain upstreams on a path,
    /// and lists them again after each crash.
    fn let_upstreams_crash(&mut self, block: &'static str) {
        for (number, role) in roles().into_iter().enumerate() {
            let trigger = match role {
                UpstreamRole::Decode => CrashTrigger::Block(block),
                UpstreamRole::Plain => CrashTrigger::Path(load::CRASHING_PATH),
                UpstreamRole::Prefill => continue,
            };
            self.upstreams[number].crash_on(trigger);
            let mut crashes = self.upstreams[number].crash_times();
            let store = self.store.clone();
            let address = self.upstream_links[number].address;
            let seed = self.seed;
            self.listings.spawn(async move {
                while crashes.changed().await.is_ok() {
                    sleep(RESTART_TIME + LISTING_DELAY).await;
                    let count = crashes.borrow_and_update().len() as u64;
                    let record = upstream_record_for(seed, number, address, count);
                    store.put("servers", &format!("p{number}"), record);
                }
            });
        }
    }

    /// Lists the engines that have crashed again, after the store has lost their records.
    fn list_crashed_engines(&self) {
        for (number, upstream) in self.upstreams.iter().enumerate() {
            let count = upstream.crashes() as u64;
            if count > 0 {
                let address = self.upstream_links[number].address;
                let record = upstream_record_for(self.seed, number, address, count);
                self.store.put("servers", &format!("p{number}"), record);
            }
        }
    }

    /// Runs the fault phase: starts and ends faults as scheduled, and withdraws one key.
    pub(crate) async fn run_faults(&mut self) {
        let start = Instant::now();
        while start.elapsed() < FAULT_PHASE {
            let scheduled = self.schedule.next_fault();
            sleep(scheduled.delay).await;
            self.end_expired_faults(Instant::now());
            if self.withdrawn_at.is_none() && start.elapsed() > KEY_WITHDRAWAL_DELAY {
                self.store.put("config", "main", configuration(2));
                self.withdrawn_at = Some(Instant::now());
            }
            let is_due = start.elapsed() > CRASH_DELAY;
            if self.crashing_block.is_some() && is_due && !self.has_crashing_callers {
                self.has_crashing_callers = true;
                self.start_callers(KEY, CallerKind::CrashingStream);
                self.start_callers(KEY, CallerKind::CrashingRequest);
            }
            let is_due = start.elapsed() > RELEASE_DELAY;
            if faults::has_versions(self.seed) && is_due && !self.is_released {
                self.release_and_kill_all();
            }
            self.start_fault(scheduled);
            let trouble = self.schedule.next_trouble();
            self.start_fault(trouble);
            if !self.first_links.is_empty() {
                let refusals = self.schedule.next_refusals().into_iter();
                refusals.for_each(|refusal| self.start_fault(refusal));
            }
        }
    }

    /// Takes the engines of one version off the list and kills all hosts at once.
    fn release_and_kill_all(&mut self) {
        self.is_released = true;
        for host in 0..HOSTS {
            self.start_fault(ScheduledFault {
                delay: Duration::ZERO,
                fault: Fault::Kill(host),
                duration: KILL_DURATION,
            });
        }
        for upstream in faults::released_engines() {
            self.store.remove("servers", &format!("p{upstream}"));
        }
    }

    /// Ends all faults, waits until the hosts serve again, shuts them down, and
    /// returns the observations of the run.
    pub(crate) async fn finish(mut self) -> RunReport {
        let latest = Instant::now() + Duration::from_secs(60);
        self.end_expired_faults(latest);
        for host in &mut self.hosts {
            if host.exit_status().is_some() {
                host.launch();
            }
        }
        self.wait_until_serving("again").await;
        sleep(SETTLE_TIME).await;
        for host in &self.hosts {
            host.terminate();
        }
        let stopped_by = Instant::now() + STOP_TIMEOUT;
        let mut unclean_shutdowns = 0;
        for host in &mut self.hosts {
            let mut status = host.exit_status();
            while status.is_none() && Instant::now() < stopped_by {
                sleep(Duration::from_millis(20)).await;
                status = host.exit_status();
            }
            unclean_shutdowns += usize::from(!status.is_some_and(|status| status.success()));
        }
        self.log.stop();
        while self.callers.join_next().await.is_some() {}
        let crashes: Vec<Vec<Instant>> = self
            .upstreams
            .iter()
            .map(|one| one.crash_times().borrow().clone())
            .collect();
        RunReport {
            requests: self.log.requests(),
            taken_up: self.log.taken_up(),
            has_versions: faults::has_versions(self.seed),
            received: self.upstreams.iter().map(|one| one.received()).collect(),
            disruptions: self
                .disruptions
                .into_iter()
                .chain(crashes_as_disruptions(&crashes))
                .collect(),
            actual_disruptions: self.actual_disruptions,
            crashes,
            drain_ends: self.drain_ends,
            crashing_block: self.crashing_block,
            usage: self.duties.calls("/usage"),
            withdrawn_at: self.withdrawn_at,
            unclean_shutdowns,
        }
    }

    async fn wait_until_serving(&self, round: &str) {
        for (number, host) in self.hosts.iter().enumerate() {
            let id = format!("{round}-{number}");
            eventually("a host serves", || load::is_serving(host.callers, &id)).await;
            let readiness = TcpStream::connect(host.readiness).await;
            readiness.expect("the readiness port accepts connections");
        }
    }

    /// Records a fault that excuses a host, or the requests on a link.
    fn record_disruption(&mut self, scheduled: &ScheduledFault) {
        let target = match &scheduled.fault {
            Fault::Suspend(host) | Fault::Kill(host) | Fault::Restart(host) => {
                DisruptionTarget::Host(self.hosts[*host].callers)
            }
            Fault::Degrade(Link::Upstream(upstream), _) => DisruptionTarget::Upstream(*upstream),
            _ => return,
        };
        let from = Instant::now();
        self.disruptions.push(Disruption {
            target,
            from,
            until: from + scheduled.duration,
        });
    }

    /// Records a fault of a host, or of the requests on a link, that lasts until `end`.
    fn record_actual_disruption(&mut self, fault: &Fault, end: Instant) {
        let from = Instant::now();
        let until = match fault {
            Fault::Reset(_) => from,
            _ => end,
        };
        let Some(target) = self.target(fault) else {
            return;
        };
        self.actual_disruptions.push(Disruption {
            target,
            from,
            until,
        });
    }

    /// Records that a fault that should last until `end` has ended now.
    fn record_end(&mut self, fault: &Fault, end: Instant) {
        let target = self.target(fault);
        let ended = self.actual_disruptions.iter_mut();
        for one in ended.filter(|one| Some(one.target) == target && one.until == end) {
            one.until = Instant::now();
        }
    }

    /// Returns the host, the link of an upstream or the store that a fault affects.
    fn target(&self, fault: &Fault) -> Option<DisruptionTarget> {
        match fault {
            Fault::Suspend(host) | Fault::Kill(host) | Fault::Restart(host) => {
                Some(DisruptionTarget::Host(self.hosts[*host].callers))
            }
            Fault::Degrade(Link::Upstream(upstream), _)
            | Fault::Reset(Link::Upstream(upstream)) => Some(DisruptionTarget::Upstream(*upstream)),
            Fault::StoreDown(_) | Fault::Degrade(Link::Store, _) | Fault::Reset(Link::Store) => {
                Some(DisruptionTarget::Store)
            }
            _ => None,
        }
    }

    /// Returns whether an upstream has a fault or trouble now.
    fn is_faulty(&self, upstream: usize) -> bool {
        let mut active = self.active_faults.iter();
        active.any(|(_, fault)| {
            matches!(fault, Fault::Upstream(one, _) | Fault::Trouble(one, _) if *one == upstream)
        })
    }

    fn start_fault(&mut self, scheduled: ScheduledFault) {
        let end = Instant::now() + scheduled.duration;
        self.record_disruption(&scheduled);
        self.record_actual_disruption(&scheduled.fault, end);
        match &scheduled.fault {
            Fault::Suspend(host) => self.hosts[*host].set_suspended(true),
            Fault::Kill(host) => self.hosts[*host].kill(),
            Fault::Restart(host) if self.hosts[*host].exit_status().is_none() => {
                self.hosts[*host].terminate();
            }
            Fault::Restart(_) => {}
            Fault::Degrade(link, state) => self.link(*link).set(*state),
            Fault::Reset(link) => self.link(*link).reset(),
            Fault::StoreDown(_) => self.store.is_down.store(true, Ordering::SeqCst),
            Fault::Upstream(upstream, behaviour) => {
                self.upstreams[*upstream].behave(behaviour.clone())
            }
            Fault::Trouble(upstream, _) if self.is_faulty(*upstream) => return,
            Fault::Trouble(upstream, behaviour) => {
                self.upstreams[*upstream].behave(behaviour.clone());
            }
            Fault::CutOff(state) => self.first_links.iter().for_each(|link| link.set(*state)),
        }
        self.active_faults.push((end, scheduled.fault));
    }

    /// Ends the faults whose end time is not after `now`.
    fn end_expired_faults(&mut self, now: Instant) {
        let active = std::mem::take(&mut self.active_faults);
        let (expired, remaining): (Vec<_>, Vec<_>) =
            active.into_iter().partition(|(end, _)| *end <= now);
        self.active_faults = remaining;
        for (end, fault) in expired {
            let ended = fault.clone();
            match fault {
                Fault::Suspend(host) => self.hosts[host].set_suspended(false),
                Fault::Kill(host) | Fault::Restart(host) => self.restart(host),
                Fault::Degrade(link, _) => self.link(link).set(LinkState::Open),
                Fault::Reset(_) => {}
                Fault::StoreDown(copy_age) => {
                    if let Some(age) = copy_age {
                        self.store.restore(age);
                        self.list_crashed_engines();
                    }
                    self.store.is_down.store(false, Ordering::SeqCst);
                }
                Fault::Upstream(upstream, behaviour) => {
                    self.upstreams[upstream].behave(roles()[upstream].behaviour());
                    if behaviour == Behaviour::Draining {
                        self.restart_upstream(upstream);
                    }
                }
                Fault::CutOff(_) => {
                    let links = self.first_links.iter();
                    links.for_each(|link| link.set(LinkState::Open));
                }
                Fault::Trouble(upstream, _) if self.is_faulty(upstream) => {}
                Fault::Trouble(upstream, _) => {
                    self.upstreams[upstream].behave(roles()[upstream].behaviour());
                }
            }
            self.record_end(&ended, end);
        }
    }

    /// Restarts a host. A host that is still shutting down is killed first, as the
    /// platform does.
    fn restart(&mut self, host: usize) {
        self.hosts[host].kill();
        self.hosts[host].launch();
    }

    /// Lists a new incarnation of an upstream, which has stopped draining.
    fn restart_upstream(&mut self, upstream: usize) {
        self.drain_ends[upstream].push(Instant::now());
        let restarts = self.drain_ends[upstream].len() as u64;
        let address = self.upstream_links[upstream].address;
        let record = upstream_record_for(self.seed, upstream, address, restarts);
        self.store.put("servers", &format!("p{upstream}"), record);
    }

    fn link(&self, link: Link) -> &FaultProxy {
        match link {
            Link::Store => &self.store_link,
            Link::Duties => &self.duty_link,
            Link::Upstream(upstream) => &self.upstream_links[upstream],
        }
    }
}

/// Returns the times for which upstreams were down after their crashes. An engine that
/// returns knows nothing of what it announced before.
fn crashes_as_disruptions(crashes: &[Vec<Instant>]) -> impl Iterator<Item = Disruption> {
    let with_number = crashes.iter().enumerate();
    with_number.flat_map(|(upstream, times)| {
        times.iter().map(move |from| Disruption {
            target: DisruptionTarget::Upstream(upstream),
            from: *from,
            until: *from + RESTART_TIME,
        })
    })
}

/// Returns the store record of an upstream of the run after a number of restarts.
fn upstream_record_for(seed: u64, upstream: usize, address: SocketAddr, restarts: u64) -> Value {
    let (service, stage) = match roles()[upstream] {
        UpstreamRole::Plain => ("app", None),
        UpstreamRole::Prefill => ("llm", Some("prefill")),
        UpstreamRole::Decode => ("llm", Some("decode")),
    };
    let mut record = fleet::upstream_record(service, address, stage, "ready");
    record["born"] = Value::from(1 + restarts);
    if faults::has_versions(seed) {
        record["version"] = Value::from(faults::version_of(upstream));
    }
    record
}
