//! Performs the actions of the seal state machine.

use super::machine::SealCallFailure;
use super::{
    SealAction, SealContents, SealCreateOutcome, SealCursor, SealEvent, SealRecord,
    SealStateMachine, StoredCursor,
};
use crate::counters::StewardCounters;
use crate::lease::Authority;
use lagoonlift_platform::{PlatformClient, PlatformError, Version, VersionedObject, wire};
use lagoonlift_types::{DataCentreName, Epoch, WindowId};
use lagoonlift_usage::{UsageWindow, windows_prefix};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// The grace period between the end of a window and its seal is the window length
/// divided by this. Processes write their closed windows during the grace period.
const GRACE_DIVISOR: u32 = 2;
/// A report counts as late if more than this many later windows are due. This is
/// independent of closed windows that were written late ([`SealRecord::late`]).
const LATE_AFTER_WINDOWS: u64 = 2;
/// Delay before the next attempt after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Limit on the interval between two checks for due windows, before its division by
/// [`GRACE_DIVISOR`]. The longest interval is therefore 500 ms.
const MAX_UNDIVIDED_INTERVAL: Duration = Duration::from_secs(1);

/// Configuration and connections of a seal runner.
pub(crate) struct SealContext {
    pub(crate) data_centre: DataCentreName,
    pub(crate) client: PlatformClient,
    pub(crate) authority: Authority,
    /// Length of a usage window.
    pub(crate) window: Duration,
    pub(crate) counters: StewardCounters,
}

/// Seals and reports the windows of one data centre.
pub(crate) struct SealRunner {
    context: SealContext,
    machine: SealStateMachine,
}

impl SealRunner {
    pub(crate) fn new(context: SealContext) -> Self {
        Self {
            context,
            machine: SealStateMachine::new(),
        }
    }

    /// Runs until dropped.
    pub(crate) async fn run(mut self) {
        let mut authority = self.context.authority.clone();
        loop {
            let epoch = authority.wait_for_grant().await;
            self.machine.handle(SealEvent::LeaseGranted(epoch));
            tokio::select! {
                () = authority.wait_for_end(epoch) => {}
                () = self.serve(epoch) => {}
            }
            self.machine.handle(SealEvent::LeaseEnded);
        }
    }

    /// Performs actions until the lease ends.
    async fn serve(&mut self, epoch: Epoch) {
        while self.context.authority.holds(epoch) {
            if let Some(due) = self.due_window() {
                self.machine.handle(SealEvent::WindowDue(due));
            }
            let Some(action) = self.machine.action() else {
                sleep(self.context.window.min(MAX_UNDIVIDED_INTERVAL) / GRACE_DIVISOR).await;
                continue;
            };
            let event = self.perform(action.clone()).await;
            self.machine.handle(event);
            if self.machine.action() == Some(action) {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Returns the last window whose grace period has passed, by the system clock. It
    /// and all earlier ones may be sealed.
    fn due_window(&self) -> Option<WindowId> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
        let length = self.context.window;
        let now_minus_grace = since_epoch.checked_sub(length / GRACE_DIVISOR)?;
        let running = now_minus_grace.as_millis() / length.as_millis().max(1);
        let running = u64::try_from(running).ok()?;
        running.checked_sub(1).map(WindowId)
    }

    async fn perform(&self, action: SealAction) -> SealEvent {
        match action {
            SealAction::ReadCursor => SealEvent::CursorRead(self.read_cursor().await),
            SealAction::WriteCursor { cursor, condition } => {
                SealEvent::CursorWritten(self.write_cursor(&cursor, condition).await)
            }
            SealAction::ReadSeal(window) => SealEvent::SealRead(self.read_seal(window).await),
            SealAction::CollectWindows { window, after } => {
                SealEvent::WindowsCollected(self.collect(window, after).await)
            }
            SealAction::CreateSeal(seal) => SealEvent::SealCreated(self.create_seal(&seal).await),
            SealAction::Report(seal) => SealEvent::Reported(self.report(&seal).await),
        }
    }

    async fn read_cursor(&self) -> Result<Option<StoredCursor>, SealCallFailure> {
        let key = SealCursor::key(&self.context.data_centre);
        let read = self.context.client.get_as(&key).await.map_err(failed)?;
        Ok(read.map(|(cursor, version)| StoredCursor { cursor, version }))
    }

    async fn write_cursor(
        &self,
        cursor: &SealCursor,
        condition: Option<Version>,
    ) -> Result<Version, SealCallFailure> {
        let key = SealCursor::key(&self.context.data_centre);
        let client = &self.context.client;
        let written = match condition {
            Some(version) => client.update(&key, cursor, version).await,
            None => client.create(&key, cursor).await,
        };
        written.map_err(failed)
    }

    async fn read_seal(&self, window: WindowId) -> Result<Option<SealRecord>, SealCallFailure> {
        let key = SealRecord::key(&self.context.data_centre, window);
        let read = self.context.client.get_as(&key).await.map_err(failed)?;
        Ok(read.map(|(seal, _)| seal))
    }

    /// Reads the closed windows that the seal of `window` covers: those written since
    /// the previous seal, and those of `window` that were written earlier.
    async fn collect(
        &self,
        window: WindowId,
        after: Version,
    ) -> Result<SealContents, SealCallFailure> {
        let client = &self.context.client;
        let prefix = windows_prefix(&self.context.data_centre);
        let changes = client.watch(&prefix, after, Duration::ZERO).await;
        let changes = changes.map_err(failed)?;
        let own = client.list(&format!("{prefix}{window}/")).await;
        let own = own.map_err(failed)?;
        let changed = changes.changes.into_iter().filter_map(changed_object);
        let closed = changed.chain(own.objects).filter_map(closed_window);
        // Some closed windows of `window` are both in the list and in the changes.
        let mut closed: Vec<_> = closed.collect();
        closed.sort_by_key(|(version, _)| *version);
        closed.dedup_by_key(|(version, _)| *version);
        let contents = SealContents::new(window, after, changes.version, closed);
        // Counts the late windows at each collection, also if it is repeated or if the
        // seal isn't created. `create_seal` counts them again, so a late window that
        // is collected once and sealed by this process increases the counter by two.
        self.context
            .counters
            .usage_windows_moved
            .add(contents.late, &[]);
        Ok(contents)
    }

    async fn create_seal(&self, seal: &SealRecord) -> Result<SealCreateOutcome, SealCallFailure> {
        let key = SealRecord::key(&self.context.data_centre, seal.window);
        match self.context.client.create(&key, seal).await {
            Ok(_) => {
                // `collect` has counted the same late windows before.
                self.context
                    .counters
                    .usage_windows_moved
                    .add(seal.late, &[]);
                Ok(SealCreateOutcome::Created)
            }
            Err(PlatformError::Conflict {
                current: Some(current),
            }) => current
                .parse()
                .map(SealCreateOutcome::Exists)
                .map_err(failed),
            Err(error) => Err(failed(error)),
        }
    }

    async fn report(&self, seal: &SealRecord) -> Result<(), SealCallFailure> {
        if seal.lines.is_empty() {
            return Ok(());
        }
        let report = seal.report(&self.context.data_centre);
        let reported = self.context.client.report_usage(&report).await;
        reported.map_err(failed)?;
        let counters = &self.context.counters;
        counters.usage_reports.add(1, &[]);
        let due = self.due_window();
        if due.is_some_and(|due| due.0 > seal.window.0 + LATE_AFTER_WINDOWS) {
            counters.usage_reports_late.add(1, &[]);
        }
        Ok(())
    }
}

fn changed_object(change: wire::ObjectChange) -> Option<VersionedObject> {
    Some(VersionedObject {
        key: change.key,
        version: Version(change.version),
        value: change.value?,
    })
}

fn closed_window(object: VersionedObject) -> Option<(Version, UsageWindow)> {
    match object.parse() {
        Ok(window) => Some((object.version, window)),
        Err(error) => {
            tracing::error!(%error, "ignored a malformed closed usage window");
            None
        }
    }
}

fn failed(error: PlatformError) -> SealCallFailure {
    tracing::debug!(%error, "a platform call for sealing failed");
    SealCallFailure
}
