//! Every closed window is reported exactly once, and all reports of a window have
//! the same figures.

use super::network::{Network, ScheduleRng, SimStore};
use super::run_schedules;
use lagoonlift_platform::Version;
use lagoonlift_steward::{
    SealAction, SealCallFailure, SealContents, SealCreateOutcome, SealCursor, SealEvent,
    SealRecord, SealStateMachine, StoredCursor,
};
use lagoonlift_types::{
    ClassName, Epoch, HostName, Incarnation, ProcessId, ProcessRole, Sequence, UsageFigures,
    WindowId, WorkspaceName,
};
use lagoonlift_usage::{UsageLine, UsageWindow};
use std::collections::BTreeMap;

/// Steps during which holders change and windows are closed.
const FAULT_STEPS: u64 = 500;
/// Limit on all steps. After [`FAULT_STEPS`] the simulation runs until every
/// window is reported.
const MAX_STEPS: u64 = 20_000;
/// Timeout of a call in steps.
const TIMEOUT: u64 = 20;
/// Length of a window in steps.
const WINDOW: u64 = 100;
/// Upper bound, exclusive, on the number of windows by which a window is closed
/// late.
const MAX_LATE: u64 = 4;
/// Upper bound, exclusive, in steps on a pause of a holder and on the time until a
/// holder notices that it was replaced.
const MAX_PAUSE: u64 = 120;
const CURSOR: &str = "cursor";

/// An object stored at the platform.
#[derive(Clone)]
enum Object {
    Cursor(SealCursor),
    Seal(SealRecord),
    Closed(UsageWindow),
}

struct Holder {
    epoch: Epoch,
    machine: SealStateMachine,
    call: Option<(u64, u64, SealAction)>,
    paused_until: u64,
    is_replaced: bool,
}

enum Message {
    Call(Epoch, u64, SealAction),
    /// The second part of reading closed windows: the list, read after the changes.
    List(
        Epoch,
        u64,
        WindowId,
        Version,
        Version,
        Vec<(Version, UsageWindow)>,
    ),
    Response(Epoch, u64, SealEvent),
    Close(UsageWindow),
}

struct Simulation {
    rng: ScheduleRng,
    store: SimStore<Object>,
    network: Network<Message>,
    holders: Vec<Holder>,
    reports: Vec<SealRecord>,
    call_count: u64,
    closed: u64,
}

fn closed_window(window: u64, number: u64) -> UsageWindow {
    let process = ProcessId {
        host: HostName::new(&format!("h{number}")).expect("a valid name"),
        role: ProcessRole::Entry,
    };
    UsageWindow {
        window: WindowId(window),
        process: process.clone(),
        incarnation: Incarnation(1),
        from: Sequence(0),
        to: Sequence(1),
        lines: vec![UsageLine {
            workspace: WorkspaceName::new("w").expect("a valid name"),
            class: ClassName::new("default").expect("a valid name"),
            figures: UsageFigures {
                requests: 1,
                ..UsageFigures::default()
            },
        }],
        closed_by: process,
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: ScheduleRng::new(seed),
            store: SimStore::new(),
            network: Network::new(),
            holders: Vec::new(),
            reports: Vec::new(),
            call_count: 0,
            closed: 0,
        }
    }

    fn run(&mut self) {
        self.replace(0);
        for now in 0..MAX_STEPS {
            match now {
                0..FAULT_STEPS => self.inject_fault(now),
                _ if self.is_settled() => return,
                _ => {}
            }
            for message in self.network.arrived(now) {
                self.deliver(now, message);
            }
            for index in 0..self.holders.len() {
                self.advance(now, index);
            }
            self.holders
                .retain(|holder| !holder.is_replaced || holder.paused_until > now);
        }
    }

    /// Returns whether a window is reported that was sealed after the last window
    /// was closed.
    fn is_settled(&self) -> bool {
        let last = (FAULT_STEPS + WINDOW) / WINDOW;
        let reported = self.cursor().map(|stored| stored.cursor.window);
        reported > Some(WindowId(last))
    }

    fn inject_fault(&mut self, now: u64) {
        match self.rng.below(100) {
            0 => self.replace(now),
            1 => {
                let pause = self.rng.below(MAX_PAUSE);
                self.holders[0].paused_until = now + pause;
            }
            2..20 => {
                let window = (now / WINDOW).saturating_sub(self.rng.below(MAX_LATE));
                self.closed += 1;
                let close = Message::Close(closed_window(window, self.closed));
                self.network.send(Some(now + self.rng.below(WINDOW)), close);
            }
            _ => {}
        }
    }

    fn replace(&mut self, now: u64) {
        let epoch = Epoch(self.holders.last().map_or(0, |holder| holder.epoch.0) + 1);
        for holder in &mut self.holders {
            holder.is_replaced = true;
            holder.paused_until = now + self.rng.below(MAX_PAUSE);
        }
        let mut machine = SealStateMachine::new();
        machine.handle(SealEvent::LeaseGranted(epoch));
        self.holders.push(Holder {
            epoch,
            machine,
            call: None,
            paused_until: now,
            is_replaced: false,
        });
    }

    fn advance(&mut self, now: u64, index: usize) {
        let holder = &mut self.holders[index];
        // In the last step of its pause, a replaced holder without a call in flight
        // makes one. It stands for a call before which the holder was paused.
        let last_call =
            holder.is_replaced && holder.paused_until == now + 1 && holder.call.is_none();
        if holder.paused_until > now && !last_call {
            return;
        }
        if let Some((_, _, action)) = holder.call.take_if(|(_, deadline, _)| *deadline <= now) {
            holder.machine.handle(timeout_event(&action));
        }
        if let Some(due) = (now / WINDOW).checked_sub(1) {
            holder.machine.handle(SealEvent::WindowDue(WindowId(due)));
        }
        let Some(action) = holder.machine.action().filter(|_| holder.call.is_none()) else {
            return;
        };
        self.call_count += 1;
        holder.call = Some((self.call_count, now + TIMEOUT, action.clone()));
        let call = Message::Call(holder.epoch, self.call_count, action);
        self.network.send(self.rng.arrival(now), call);
    }

    fn deliver(&mut self, now: u64, message: Message) {
        match message {
            Message::Call(sender, call, SealAction::CollectWindows { window, after }) => {
                let through = Version(self.store.version());
                let changed = self.closed_windows(|version, _| version > after);
                let list = Message::List(sender, call, window, after, through, changed);
                self.network.send(self.rng.arrival(now), list);
            }
            Message::List(sender, call, window, after, through, mut closed) => {
                closed.extend(self.closed_windows(|_, closed| closed.window == window));
                closed.sort_by_key(|(version, _)| *version);
                closed.dedup_by_key(|(version, _)| *version);
                let contents = SealContents::new(window, after, through, closed);
                let event = SealEvent::WindowsCollected(Ok(contents));
                let response = Message::Response(sender, call, event);
                self.network.send(self.rng.arrival(now), response);
            }
            Message::Call(sender, call, action) => {
                let event = self.perform(action);
                let response = Message::Response(sender, call, event);
                self.network.send(self.rng.arrival(now), response);
            }
            Message::Response(recipient, call, event) => {
                let holder = self.holders.iter_mut().find(|h| h.epoch == recipient);
                let Some(holder) = holder else { return };
                let is_awaited = holder.call.as_ref().is_some_and(|(id, _, _)| *id == call);
                if is_awaited && !holder.is_replaced {
                    holder.call = None;
                    holder.machine.handle(event);
                }
            }
            Message::Close(closed) => {
                let key = format!("closed/{}", closed.process);
                let written = self.store.put(&key, Object::Closed(closed), None);
                assert!(written.is_ok(), "each window is closed once");
            }
        }
    }

    fn closed_windows(
        &self,
        keep: impl Fn(Version, &UsageWindow) -> bool,
    ) -> Vec<(Version, UsageWindow)> {
        let closed = self
            .store
            .all()
            .filter_map(|(object, version)| match object {
                Object::Closed(closed) => Some((Version(*version), closed.clone())),
                _ => None,
            });
        closed
            .filter(|(version, closed)| keep(*version, closed))
            .collect()
    }

    fn perform(&mut self, action: SealAction) -> SealEvent {
        match action {
            SealAction::ReadCursor => SealEvent::CursorRead(Ok(self.cursor())),
            SealAction::WriteCursor { cursor, condition } => {
                let condition = condition.map(|version| version.0);
                let written = self.store.put(CURSOR, Object::Cursor(cursor), condition);
                SealEvent::CursorWritten(written.map(Version).map_err(|_| SealCallFailure))
            }
            SealAction::ReadSeal(window) => SealEvent::SealRead(Ok(self.seal(window))),
            SealAction::CreateSeal(seal) => {
                let key = format!("seal/{}", seal.window);
                let window = seal.window;
                let created = match self.store.put(&key, Object::Seal(seal), None) {
                    Ok(_) => SealCreateOutcome::Created,
                    Err(_) => SealCreateOutcome::Exists(
                        self.seal(window).expect("a conflicting seal exists"),
                    ),
                };
                SealEvent::SealCreated(Ok(created))
            }
            SealAction::Report(seal) => {
                self.reports.push(seal);
                SealEvent::Reported(Ok(()))
            }
            SealAction::CollectWindows { .. } => SealEvent::WindowsCollected(Err(SealCallFailure)),
        }
    }

    fn cursor(&self) -> Option<StoredCursor> {
        match self.store.get(CURSOR) {
            Some((Object::Cursor(cursor), version)) => Some(StoredCursor {
                cursor,
                version: Version(version),
            }),
            _ => None,
        }
    }

    fn seal(&self, window: WindowId) -> Option<SealRecord> {
        match self.store.get(&format!("seal/{window}")) {
            Some((Object::Seal(seal), _)) => Some(seal),
            _ => None,
        }
    }
}

fn timeout_event(action: &SealAction) -> SealEvent {
    match action {
        SealAction::ReadCursor => SealEvent::CursorRead(Err(SealCallFailure)),
        SealAction::WriteCursor { .. } => SealEvent::CursorWritten(Err(SealCallFailure)),
        SealAction::ReadSeal(_) => SealEvent::SealRead(Err(SealCallFailure)),
        SealAction::CollectWindows { .. } => SealEvent::WindowsCollected(Err(SealCallFailure)),
        SealAction::CreateSeal(_) => SealEvent::SealCreated(Err(SealCallFailure)),
        SealAction::Report(_) => SealEvent::Reported(Err(SealCallFailure)),
    }
}

/// Checks from the reports and the number of closed windows that each window is
/// reported once and always with the same figures.
fn check_history(reports: &[SealRecord], closed: u64) -> Result<(), String> {
    let mut windows: BTreeMap<WindowId, &SealRecord> = BTreeMap::new();
    for report in reports {
        let first = windows.entry(report.window).or_insert(report);
        if first.lines != report.lines {
            return Err(format!(
                "window {} was reported with different figures",
                report.window
            ));
        }
    }
    let lines = windows.values().flat_map(|report| &report.lines);
    let reported: u64 = lines.map(|line| line.figures.requests).sum();
    match reported == closed {
        true => Ok(()),
        false => Err(format!("{closed} closed, {reported} reported")),
    }
}

fn run(seed: u64) -> Result<(), String> {
    let mut simulation = Simulation::new(seed);
    simulation.run();
    check_history(&simulation.reports, simulation.closed)
}

/// Fails if figures are reported before the seal is known to exist, or if a seal
/// covers closed windows that were written after its version.
#[test]
fn every_closed_window_is_reported_once() {
    run_schedules(run);
}
