//! Tests of upstreams that drain or hold off requests: they announce it in responses
//! while the list of upstreams is late, loses entries and lists them again, and while
//! upstreams restart.

use super::{Network, Randomness, run_schedules};
use crate::dispatch::support::{SERVICE, at_ms, engine, view};
use lagoonlift_policy::dispatch::{
    EngineRole, ListChange, PeerLoads, Placement, PlacementLimits, UpstreamPhase, UpstreamRecord,
    UpstreamTable,
};
use std::time::Duration;

const UPSTREAMS: usize = 4;
/// Length of a schedule, in milliseconds.
const SCHEDULE_LENGTH_MS: u64 = 10_000;
/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 20;
/// Longest time of a request to its upstream, in milliseconds.
const MAX_REQUEST_TRANSIT_MS: u64 = 400;
/// An upstream starts to drain, starts or ends its hold-offs, or restarts, each in one
/// of this many steps.
const CHANGE_RARITY: u64 = 250;
/// The entry of an upstream is written, or removed, in one of this many steps.
const LIST_RARITY: u64 = 25;
/// Longest hold-off, in milliseconds.
const MAX_HOLD_OFF_MS: u64 = 3_000;
/// Time after a refusal within which requests that were sent before may arrive, in
/// milliseconds.
const HOLD_OFF_GRACE_MS: u64 = 500;
/// Requests that may reach an upstream between that time and the end of the hold-off.
const MAX_ARRIVALS_IN_HOLD_OFF: u32 = 2;

enum Message {
    Request {
        to: UpstreamRecord,
    },
    Response {
        from: UpstreamRecord,
        is_draining: bool,
        hold_off: Option<Duration>,
    },
    Listed(ListChange),
}

/// An upstream as it is.
struct RealUpstream {
    record: UpstreamRecord,
    holds_off: bool,
    /// Start and end of the latest hold-off, and the requests that arrived in it.
    hold_off: Option<(u64, u64)>,
    arrivals: u32,
    /// Whether the host has received a response that announces draining.
    is_known_draining: bool,
}

struct Simulation {
    randomness: Randomness,
    network: Network<Message>,
    upstreams: Vec<RealUpstream>,
    table: UpstreamTable,
    placement: Placement,
    peers: PeerLoads,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let records: Vec<UpstreamRecord> = (0..UPSTREAMS)
            .map(|number| engine(number, EngineRole::Decode))
            .collect();
        let mut table = UpstreamTable::new();
        table.apply_list(at_ms(0), records.clone());
        let upstreams = records.into_iter().map(RealUpstream::new).collect();
        Self {
            randomness: Randomness::new(seed),
            network: Network::new(),
            upstreams,
            table,
            placement: Placement::new(PlacementLimits::default(), "a"),
            peers: PeerLoads::new(),
        }
    }

    fn run(mut self) -> Result<(), String> {
        for now in (0..SCHEDULE_LENGTH_MS).step_by(STEP_MS as usize) {
            for message in self.network.arrived(now) {
                self.deliver(now, message)?;
            }
            self.change_upstreams();
            self.write_list(now);
            self.table.remove_missing(at_ms(now));
            self.send_request(now)?;
        }
        Ok(())
    }

    fn change_upstreams(&mut self) {
        for upstream in &mut self.upstreams {
            if self.randomness.once_in(CHANGE_RARITY) {
                upstream.record.phase = UpstreamPhase::Leaving;
            }
            if self.randomness.once_in(CHANGE_RARITY / 4) {
                upstream.holds_off = !upstream.holds_off;
            }
            if self.randomness.once_in(CHANGE_RARITY) {
                let mut record = upstream.record.clone();
                record.started_ms = record.started_ms.map(|ms| ms + 1);
                record.phase = UpstreamPhase::Serving;
                *upstream = RealUpstream::new(record);
            }
        }
    }

    /// Writes or removes an entry, which the host observes later. The entry of a
    /// draining upstream may state that it is serving.
    fn write_list(&mut self, now: u64) {
        if self.randomness.once_in(LIST_RARITY * 10) {
            self.table.record_store_unavailable(at_ms(now));
            self.table.record_store_available(at_ms(now), None);
        }
        if !self.randomness.once_in(LIST_RARITY) {
            return;
        }
        let number = self.randomness.below(UPSTREAMS as u64) as usize;
        let mut record = self.upstreams[number].record.clone();
        record.phase = UpstreamPhase::Serving;
        let change = match self.randomness.once_in(3) {
            true => ListChange::Removed(record.id),
            false => ListChange::Present(record),
        };
        let arrival = self.randomness.arrival(now);
        self.network.send(arrival, Message::Listed(change));
    }

    fn send_request(&mut self, now: u64) -> Result<(), String> {
        let mut view = view(&self.table, &self.peers, &[], now);
        view.tie_breaker = self.randomness.below(1_000) as f64 / 1_000.0;
        let Some(key) = self.placement.choose_upstream(view) else {
            return Ok(());
        };
        let upstream = self.table.get(key).expect("the choice is listed");
        if !upstream.accepts_requests(at_ms(now)) {
            return Err(format!(
                "{now} ms: an upstream was chosen that accepts none"
            ));
        }
        let to = upstream.record.clone();
        let is_known_draining = self
            .real(&to)
            .is_some_and(|upstream| upstream.is_known_draining);
        if is_known_draining {
            return Err(format!(
                "{now} ms: a request was sent to a draining upstream"
            ));
        }
        let arrival = now + 1 + self.randomness.below(MAX_REQUEST_TRANSIT_MS);
        self.network.send(Some(arrival), Message::Request { to });
        Ok(())
    }

    /// Returns the upstream if it still is the incarnation of `record`.
    fn real(&mut self, record: &UpstreamRecord) -> Option<&mut RealUpstream> {
        self.upstreams.iter_mut().find(|upstream| {
            upstream.record.id == record.id && upstream.record.started_ms == record.started_ms
        })
    }

    fn deliver(&mut self, now: u64, message: Message) -> Result<(), String> {
        match message {
            Message::Request { to } => self.receive_request(now, &to)?,
            Message::Response {
                from,
                is_draining,
                hold_off,
            } => {
                if is_draining {
                    self.table.record_draining(at_ms(now), &from);
                    if let Some(upstream) = self.real(&from) {
                        upstream.is_known_draining = true;
                    }
                }
                if let Some(time) = hold_off {
                    let jitter = self.randomness.below(100) as f64 / 100.0;
                    self.table.record_hold_off(at_ms(now), &from, time, jitter);
                }
            }
            Message::Listed(change) => {
                self.table.apply(at_ms(now), change);
            }
        }
        Ok(())
    }

    fn receive_request(&mut self, now: u64, to: &UpstreamRecord) -> Result<(), String> {
        let time_ms = 1 + self.randomness.below(MAX_HOLD_OFF_MS);
        let Some(upstream) = self.real(to) else {
            return Ok(());
        };
        let is_in_hold_off = upstream
            .hold_off
            .is_some_and(|(start, end)| start + HOLD_OFF_GRACE_MS < now && now < end);
        if is_in_hold_off {
            upstream.arrivals += 1;
            if upstream.arrivals > MAX_ARRIVALS_IN_HOLD_OFF {
                return Err(format!(
                    "{now} ms: requests reached {:?} in a hold-off",
                    to.id
                ));
            }
        }
        let hold_off = upstream.holds_off.then(|| Duration::from_millis(time_ms));
        if hold_off.is_some() {
            let end = upstream.hold_off.map_or(0, |(_, end)| end);
            upstream.hold_off = Some((now, end.max(now + time_ms)));
            upstream.arrivals = 0;
        }
        let response = Message::Response {
            from: to.clone(),
            is_draining: upstream.record.phase == UpstreamPhase::Leaving,
            hold_off,
        };
        let arrival = now + 1 + self.randomness.below(super::MAX_DELAY_MS);
        self.network.send(Some(arrival), response);
        Ok(())
    }
}

impl RealUpstream {
    fn new(record: UpstreamRecord) -> Self {
        Self {
            record,
            holds_off: false,
            hold_off: None,
            arrivals: 0,
            is_known_draining: false,
        }
    }
}

/// No request is sent to an upstream after it announced that it drains, and none
/// reaches one that holds off requests, but for those that were on their way.
#[test]
fn announcements_hold_whatever_is_listed() {
    run_schedules(|seed| Simulation::new(seed).run());
}

/// All engines hold off requests at once. The host resumes at a different time for each
/// engine, so that they don't get its requests at the same moment.
#[test]
fn hold_offs_that_end_together_are_resumed_apart() {
    let records = (0..40).map(|number| engine(number, EngineRole::Decode));
    let records: Vec<UpstreamRecord> = records.collect();
    let mut table = UpstreamTable::new();
    table.apply_list(at_ms(0), records.clone());
    let time = Duration::from_secs(2);
    for (number, record) in records.iter().enumerate() {
        table.record_hold_off(at_ms(0), record, time, number as f64 / 40.0);
    }
    assert_eq!(
        table.shortest_hold_off(SERVICE, at_ms(500)),
        Some(time - Duration::from_millis(500))
    );
    let usable = |ms| table.usable(SERVICE, at_ms(ms)).count();
    assert_eq!(usable(1_999), 0);
    let at_end = usable(2_020);
    assert!(
        (1..=4).contains(&at_end),
        "{at_end} engines resumed at once"
    );
    assert_eq!(usable(2_400), 40);
}
