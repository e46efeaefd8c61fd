//! Reporting of the demand at this process to the aggregators.

use crate::context::{CONNECT_TIMEOUT, PeerContext, RESPONSE_TIMEOUT};
use crate::demand::{Demand, DemandGroup, DemandMap, DemandSource, DemandTable, can_aggregate};
use crate::membership::Member;
use crate::stream::{PeerStream, StreamError};
use crate::wire::{Request, Response};
use futures::future::join_all;
use lagoonlift_types::{DataCentreName, ProcessId, ProcessRole};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

/// Longest wait for a change of the demand before the next report.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two reports when demand changes quickly.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Number of processes up to which reports use the intervals above. With more
/// processes, each one reports less often, so that its traffic doesn't grow.
const PROCESSES_AT_FULL_RATE: usize = 32;

/// Relative change of a workspace's requests per second above which a report is
/// sent without waiting for the longest interval. Changes of other parts of the
/// demand wait for that interval.
const IMMEDIATE_REPORT_CHANGE: f64 = 0.2;

/// State shared by the demand exchange and the server of a node.
#[derive(Debug)]
pub(crate) struct DemandState {
    started: Instant,
    table: Mutex<DemandTable>,
    own: Mutex<DemandMap>,
    changed: Notify,
    peer_demand: watch::Sender<Arc<DemandMap>>,
}

impl Default for DemandState {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            table: Mutex::default(),
            own: Mutex::default(),
            changed: Notify::new(),
            peer_demand: watch::Sender::default(),
        }
    }
}

impl DemandState {
    pub(crate) fn set_own(&self, demands: DemandMap) {
        let mut own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        let is_changed = demands
            .iter()
            .any(|(workspace, demand)| is_significant_change(own.get(workspace), *demand));
        *own = demands;
        if is_changed {
            self.changed.notify_one();
        }
    }

    pub(crate) fn peer_demand(&self) -> watch::Receiver<Arc<DemandMap>> {
        self.peer_demand.subscribe()
    }

    /// Records a report and returns the response to it.
    pub(crate) fn handle_report(&self, source: &DemandSource, demands: &DemandMap) -> DemandMap {
        let mut table = self.table();
        table.record(self.started.elapsed(), source, demands);
        let totals = match source {
            DemandSource::Process(_) => table.totals(),
            DemandSource::DataCentre(_) => table.local_totals(),
        };
        let is_requested = |workspace: &_| demands.contains_key(workspace);
        match source {
            DemandSource::Process(_) => totals
                .into_iter()
                .filter(|(name, _)| is_requested(name))
                .collect(),
            DemandSource::DataCentre(_) => totals,
        }
    }

    fn table(&self) -> MutexGuard<'_, DemandTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn own(&self) -> DemandMap {
        let own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        own.clone()
    }
}

fn is_significant_change(old: Option<&Demand>, new: Demand) -> bool {
    let old = old.copied().unwrap_or_default().requests_per_second;
    let new = new.requests_per_second;
    (new - old).abs() > IMMEDIATE_REPORT_CHANGE * old.max(new)
}

/// A report to one aggregator.
struct DemandReport {
    address: SocketAddr,
    source: DemandSource,
    demands: DemandMap,
}

/// Reports the demand of one process at regular intervals.
pub(crate) struct DemandExchange {
    pub(crate) context: Arc<PeerContext>,
    pub(crate) members: watch::Receiver<Arc<Vec<Member>>>,
    pub(crate) streams: HashMap<SocketAddr, PeerStream>,
}

impl DemandExchange {
    /// Sends reports until the task is aborted.
    pub(crate) async fn run(mut self) {
        let state = Arc::clone(&self.context.demand);
        loop {
            let interval_factor = self.interval_factor();
            // Waits until the interval ends or the demand changes
            // significantly.
            let _ = timeout(
                MAX_REPORT_INTERVAL * interval_factor,
                state.changed.notified(),
            )
            .await;
            self.send_reports(interval_factor).await;
            sleep(MIN_REPORT_INTERVAL * interval_factor).await;
        }
    }

    /// Returns the factor by which a large system lengthens the report
    /// intervals.
    fn interval_factor(&self) -> u32 {
        let processes = self
            .members
            .borrow()
            .iter()
            .filter(|member| can_aggregate(member))
            .count();
        let interval_factor = processes.div_ceil(PROCESSES_AT_FULL_RATE).max(1);
        u32::try_from(interval_factor).unwrap_or(u32::MAX)
    }

    async fn send_reports(&mut self, interval_factor: u32) {
        let members = Arc::clone(&self.members.borrow());
        let state = Arc::clone(&self.context.demand);
        let own = state.own();
        let is_live = |process: &ProcessId| {
            let is_member = |member: &Member| member.process == *process;
            *process == self.context.process || members.iter().any(is_member)
        };
        let now = state.started.elapsed();
        state.table().expire(now, interval_factor, is_live);
        let mut totals = self.aggregate_own(&state, &members, &own);
        let reports = self.reports(&members, &own);
        let streams = &mut self.streams;
        let exchanges = reports.into_iter().map(|report| {
            let stream = streams.remove(&report.address);
            send_report(Arc::clone(&self.context), report, stream)
        });
        for (report, response) in join_all(exchanges).await {
            // A process that didn't respond gets another report at the next
            // interval. Until then, its last response stays in use.
            let Ok((stream, response)) = response else {
                continue;
            };
            self.streams.insert(report.address, stream);
            match &report.source {
                DemandSource::Process(_) => totals.extend(response),
                DemandSource::DataCentre(_) => {
                    if let Some(other) = data_centre_at(&members, report.address) {
                        let source = DemandSource::DataCentre(other);
                        state
                            .table()
                            .record(state.started.elapsed(), &source, &response);
                    }
                }
            }
        }
        publish(&state, &own, totals);
    }

    /// Records the demand of this process on the groups that it aggregates
    /// itself. Returns the totals for its workspaces in those groups.
    fn aggregate_own(&self, state: &DemandState, members: &[Member], own: &DemandMap) -> DemandMap {
        let process = &self.context.process;
        let demands: DemandMap = own
            .iter()
            .filter(|(workspace, _)| {
                self.local_aggregator(members, DemandGroup::of(workspace)) == Some(process)
            })
            .map(|(workspace, demand)| (workspace.clone(), *demand))
            .collect();
        state.handle_report(&DemandSource::Process(process.clone()), &demands)
    }

    /// Returns the reports to send. The aggregators of this data centre receive
    /// the demand at this process. The aggregators of other data centres
    /// receive the totals that this process aggregates.
    fn reports(&self, members: &[Member], own: &DemandMap) -> Vec<DemandReport> {
        let process = &self.context.process;
        let own_source = DemandSource::Process(process.clone());
        let centre_source = DemandSource::DataCentre(self.context.data_centre.clone());
        let local_totals = self.context.demand.table().local_totals();
        let peer_data_centres = other_data_centres(members, &self.context.data_centre);
        let mut reports: BTreeMap<(SocketAddr, DemandSource), DemandMap> = BTreeMap::new();
        for group in DemandGroup::all() {
            let in_group = |demands: &DemandMap| -> DemandMap {
                let demands = demands.iter();
                demands
                    .filter(|(workspace, _)| DemandGroup::of(workspace) == group)
                    .map(|(workspace, demand)| (workspace.clone(), *demand))
                    .collect()
            };
            match self.local_aggregator(members, group) {
                Some(aggregator) if aggregator == process => {
                    let demands = in_group(&local_totals);
                    for data_centre in &peer_data_centres {
                        let Some(address) = aggregator_address(members, data_centre, group) else {
                            continue;
                        };
                        let key = (address, centre_source.clone());
                        reports.entry(key).or_default().extend(demands.clone());
                    }
                }
                Some(aggregator) => {
                    let is_aggregator = |member: &&Member| member.process == *aggregator;
                    if let Some(member) = members.iter().find(is_aggregator) {
                        let key = (member.address, own_source.clone());
                        reports.entry(key).or_default().extend(in_group(own));
                    }
                }
                None => {}
            }
        }
        reports
            .into_iter()
            .filter(|(_, demands)| !demands.is_empty())
            .map(|((address, source), demands)| DemandReport {
                address,
                source,
                demands,
            })
            .collect()
    }

    fn local_aggregator<'a>(
        &'a self,
        members: &'a [Member],
        group: DemandGroup,
    ) -> Option<&'a ProcessId> {
        let local = members
            .iter()
            .filter(|member| {
                can_aggregate(member) && member.data_centre == self.context.data_centre
            })
            .map(|member| &member.process);
        // The list of members doesn't contain this process itself.
        let own = &self.context.process;
        let own = (own.role == ProcessRole::Entry).then_some(own);
        group.aggregator(local.chain(own))
    }
}

async fn send_report(
    context: Arc<PeerContext>,
    report: DemandReport,
    stream: Option<PeerStream>,
) -> (DemandReport, Result<(PeerStream, DemandMap), StreamError>) {
    let response = exchange(&context, &report, stream).await;
    (report, response)
}

async fn exchange(
    context: &PeerContext,
    report: &DemandReport,
    stream: Option<PeerStream>,
) -> Result<(PeerStream, DemandMap), StreamError> {
    let mut stream = match stream {
        Some(stream) => stream,
        None => {
            let counters = Arc::clone(&context.counters);
            let connecting = PeerStream::connect(report.address, &context.keys, counters);
            let connected = timeout(CONNECT_TIMEOUT, connecting).await;
            connected.map_err(|_| StreamError::Closed)??
        }
    };
    let request = Request::Demand {
        source: report.source.clone(),
        demands: report.demands.clone(),
    };
    stream.send(&request).await?;
    let response = timeout(RESPONSE_TIMEOUT, stream.receive()).await;
    match response.map_err(|_| StreamError::Closed)?? {
        Response::Demand(demands) => Ok((stream, demands)),
        _ => Err(StreamError::Unexpected),
    }
}

/// Publishes the demand at other processes, which is the totals minus the
/// demand at this process. Workspaces without a new total keep their previous
/// figures.
fn publish(state: &DemandState, own: &DemandMap, totals: DemandMap) {
    state.peer_demand.send_if_modified(|peer_demand| {
        let mut changed = DemandMap::clone(peer_demand);
        changed.retain(|workspace, _| own.contains_key(workspace));
        for (workspace, total) in totals {
            let own = own.get(&workspace).copied().unwrap_or_default();
            changed.insert(workspace, total - own);
        }
        let is_modified = **peer_demand != changed;
        *peer_demand = Arc::new(changed);
        is_modified
    });
}

fn other_data_centres(members: &[Member], own: &DataCentreName) -> Vec<DataCentreName> {
    let names = members.iter().map(|member| &member.data_centre);
    let mut names: Vec<DataCentreName> = names.filter(|name| *name != own).cloned().collect();
    names.sort();
    names.dedup();
    names
}

fn aggregator_address(
    members: &[Member],
    data_centre: &DataCentreName,
    group: DemandGroup,
) -> Option<SocketAddr> {
    let candidates = || {
        members
            .iter()
            .filter(|member| can_aggregate(member) && member.data_centre == *data_centre)
    };
    let aggregator = group.aggregator(candidates().map(|member| &member.process))?;
    let member = candidates().find(|member| member.process == *aggregator)?;
    Some(member.address)
}

fn data_centre_at(members: &[Member], address: SocketAddr) -> Option<DataCentreName> {
    let member = members.iter().find(|member| member.address == address)?;
    Some(member.data_centre.clone())
}
