//! Tells the demand at this process to those who add it up.

use crate::context::{ANSWER_TIMEOUT, CONNECT_TIMEOUT, PeerContext};
use crate::demand::{Demand, DemandGroup, DemandMap, DemandSource, DemandTable, is_adder};
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

/// Longest time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two reports, when demand changes quickly.
const REPORT_PAUSE: Duration = Duration::from_millis(50);

/// Processes up to which reports are as frequent as these times say; with more,
/// each reports less often, so that its traffic doesn't grow.
const PROCESSES_AT_FULL_RATE: usize = 32;

/// Share by which demand has to change to be reported at once.
const PROMPT_CHANGE: f64 = 0.2;

/// What the exchange and the server of a node share.
#[derive(Debug)]
pub(crate) struct DemandParts {
    started: Instant,
    board: Mutex<DemandTable>,
    own: Mutex<DemandMap>,
    changed: Notify,
    others: watch::Sender<Arc<DemandMap>>,
}

impl Default for DemandParts {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            board: Mutex::default(),
            own: Mutex::default(),
            changed: Notify::new(),
            others: watch::Sender::default(),
        }
    }
}

impl DemandParts {
    pub(crate) fn set_own(&self, demands: DemandMap) {
        let mut own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        let is_changed = demands
            .iter()
            .any(|(workspace, demand)| has_changed(own.get(workspace), *demand));
        *own = demands;
        if is_changed {
            self.changed.notify_one();
        }
    }

    pub(crate) fn others(&self) -> watch::Receiver<Arc<DemandMap>> {
        self.others.subscribe()
    }

    /// Takes a report in and answers it.
    pub(crate) fn answer(&self, source: &DemandSource, demands: &DemandMap) -> DemandMap {
        let mut board = self.board();
        board.record(self.started.elapsed(), source, demands);
        let totals = match source {
            DemandSource::Process(_) => board.totals(),
            DemandSource::DataCentre(_) => board.local_totals(),
        };
        let asked = |workspace: &_| demands.contains_key(workspace);
        match source {
            DemandSource::Process(_) => {
                totals.into_iter().filter(|(name, _)| asked(name)).collect()
            }
            DemandSource::DataCentre(_) => totals,
        }
    }

    fn board(&self) -> MutexGuard<'_, DemandTable> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn own(&self) -> DemandMap {
        let own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        own.clone()
    }
}

fn has_changed(old: Option<&Demand>, new: Demand) -> bool {
    let old = old.copied().unwrap_or_default().requests_per_second;
    let new = new.requests_per_second;
    (new - old).abs() > PROMPT_CHANGE * old.max(new)
}

/// One process that demand is told to.
struct Adder {
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
    /// Reports for ever.
    pub(crate) async fn run(mut self) {
        let parts = Arc::clone(&self.context.demand);
        loop {
            let stretch = self.stretch();
            // Whichever comes first: the time, or a change worth telling.
            let _ = timeout(REPORT_INTERVAL * stretch, parts.changed.notified()).await;
            self.report(stretch).await;
            sleep(REPORT_PAUSE * stretch).await;
        }
    }

    /// Returns how many times longer than in a small system reports take.
    fn stretch(&self) -> u32 {
        let processes = self
            .members
            .borrow()
            .iter()
            .filter(|member| is_adder(member))
            .count();
        let stretch = processes.div_ceil(PROCESSES_AT_FULL_RATE).max(1);
        u32::try_from(stretch).unwrap_or(u32::MAX)
    }

    async fn report(&mut self, stretch: u32) {
        let members = Arc::clone(&self.members.borrow());
        let parts = Arc::clone(&self.context.demand);
        let own = parts.own();
        let is_live = |process: &ProcessId| {
            let is_member = |member: &Member| member.process == *process;
            *process == self.context.process || members.iter().any(is_member)
        };
        let now = parts.started.elapsed();
        parts.board().expire(now, stretch, is_live);
        let mut totals = self.add_own(&parts, &members, &own);
        let adders = self.adders(&members, &own);
        let streams = &mut self.streams;
        let asked = adders.into_iter().map(|adder| {
            let stream = streams.remove(&adder.address);
            ask(Arc::clone(&self.context), adder, stream)
        });
        for (adder, answer) in join_all(asked).await {
            // A process that doesn't answer is asked again at the next report;
            // until then, what it said last holds.
            let Ok((stream, answer)) = answer else {
                continue;
            };
            self.streams.insert(adder.address, stream);
            match &adder.source {
                DemandSource::Process(_) => totals.extend(answer),
                DemandSource::DataCentre(_) => {
                    if let Some(other) = data_centre_at(&members, adder.address) {
                        let source = DemandSource::DataCentre(other);
                        parts
                            .board()
                            .record(parts.started.elapsed(), &source, &answer);
                    }
                }
            }
        }
        publish(&parts, &own, totals);
    }

    /// Adds up what this process adds up itself; returns totals of its own
    /// workspaces in those groups.
    fn add_own(&self, parts: &DemandParts, members: &[Member], own: &DemandMap) -> DemandMap {
        let process = &self.context.process;
        let demands: DemandMap = own
            .iter()
            .filter(|(workspace, _)| {
                self.local_adder(members, DemandGroup::of(workspace)) == Some(process)
            })
            .map(|(workspace, demand)| (workspace.clone(), *demand))
            .collect();
        parts.answer(&DemandSource::Process(process.clone()), &demands)
    }

    /// Returns whom to tell what: the adders of this data centre the demand
    /// here, and those of other data centres the totals that are added up here.
    fn adders(&self, members: &[Member], own: &DemandMap) -> Vec<Adder> {
        let process = &self.context.process;
        let own_source = DemandSource::Process(process.clone());
        let centre_source = DemandSource::DataCentre(self.context.data_centre.clone());
        let local_totals = self.context.demand.board().local_totals();
        let others = other_data_centres(members, &self.context.data_centre);
        let mut adders: BTreeMap<(SocketAddr, DemandSource), DemandMap> = BTreeMap::new();
        for group in DemandGroup::all() {
            let in_group = |demands: &DemandMap| -> DemandMap {
                let demands = demands.iter();
                demands
                    .filter(|(workspace, _)| DemandGroup::of(workspace) == group)
                    .map(|(workspace, demand)| (workspace.clone(), *demand))
                    .collect()
            };
            match self.local_adder(members, group) {
                Some(adder) if adder == process => {
                    let demands = in_group(&local_totals);
                    for data_centre in &others {
                        let Some(address) = adder_address(members, data_centre, group) else {
                            continue;
                        };
                        let key = (address, centre_source.clone());
                        adders.entry(key).or_default().extend(demands.clone());
                    }
                }
                Some(adder) => {
                    let is_adder = |member: &&Member| member.process == *adder;
                    if let Some(member) = members.iter().find(is_adder) {
                        let key = (member.address, own_source.clone());
                        adders.entry(key).or_default().extend(in_group(own));
                    }
                }
                None => {}
            }
        }
        adders
            .into_iter()
            .filter(|(_, demands)| !demands.is_empty())
            .map(|((address, source), demands)| Adder {
                address,
                source,
                demands,
            })
            .collect()
    }

    fn local_adder<'a>(
        &'a self,
        members: &'a [Member],
        group: DemandGroup,
    ) -> Option<&'a ProcessId> {
        let local = members
            .iter()
            .filter(|member| is_adder(member) && member.data_centre == self.context.data_centre)
            .map(|member| &member.process);
        // The list of members doesn't hold this process itself.
        let own = &self.context.process;
        let own = (own.role == ProcessRole::Entry).then_some(own);
        group.adder(local.chain(own))
    }
}

async fn ask(
    context: Arc<PeerContext>,
    adder: Adder,
    stream: Option<PeerStream>,
) -> (Adder, Result<(PeerStream, DemandMap), StreamError>) {
    let answer = exchange(&context, &adder, stream).await;
    (adder, answer)
}

async fn exchange(
    context: &PeerContext,
    adder: &Adder,
    stream: Option<PeerStream>,
) -> Result<(PeerStream, DemandMap), StreamError> {
    let mut stream = match stream {
        Some(stream) => stream,
        None => {
            let counters = Arc::clone(&context.counters);
            let connecting = PeerStream::connect(adder.address, &context.keys, counters);
            let connected = timeout(CONNECT_TIMEOUT, connecting).await;
            connected.map_err(|_| StreamError::Closed)??
        }
    };
    let request = Request::Demand {
        source: adder.source.clone(),
        demands: adder.demands.clone(),
    };
    stream.send(&request).await?;
    let answer = timeout(ANSWER_TIMEOUT, stream.receive()).await;
    match answer.map_err(|_| StreamError::Closed)?? {
        Response::Demand(demands) => Ok((stream, demands)),
        _ => Err(StreamError::Unexpected),
    }
}

/// Publishes the demand elsewhere: the totals without what was told from here.
/// Workspaces whose totals didn't come keep their last figures.
fn publish(parts: &DemandParts, own: &DemandMap, totals: DemandMap) {
    parts.others.send_if_modified(|others| {
        let mut changed = DemandMap::clone(others);
        changed.retain(|workspace, _| own.contains_key(workspace));
        for (workspace, total) in totals {
            let own = own.get(&workspace).copied().unwrap_or_default();
            changed.insert(workspace, total - own);
        }
        let is_modified = **others != changed;
        *others = Arc::new(changed);
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

fn adder_address(
    members: &[Member],
    data_centre: &DataCentreName,
    group: DemandGroup,
) -> Option<SocketAddr> {
    let there = || {
        members
            .iter()
            .filter(|member| is_adder(member) && member.data_centre == *data_centre)
    };
    let adder = group.adder(there().map(|member| &member.process))?;
    let member = there().find(|member| member.process == *adder)?;
    Some(member.address)
}

fn data_centre_at(members: &[Member], address: SocketAddr) -> Option<DataCentreName> {
    let member = members.iter().find(|member| member.address == address)?;
    Some(member.data_centre.clone())
}
