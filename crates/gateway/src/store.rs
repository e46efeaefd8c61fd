//! HTTP client of the shared store.

use crate::connection::{BufferedResponse, CallError, CallLimits, ConnectionPool, Endpoint, call};
use crate::era_monitor::{EraMonitor, EraSource};
use bytes::Bytes;
use http::{Request, StatusCode};
use lagoonlift_adapter::EncodeError;
use lagoonlift_adapter::store::{
    ChangePage, ObjectPage, ReadConsistency, Revision, StoreCalls, StoreError, StoreObject,
    WriteCondition, decode_changes, decode_era, decode_object, decode_page, decode_removal,
};
use lagoonlift_policy::dispatch::{EraChange, ListStep, ListWalk, StoreEra};
use serde::Serialize;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest body of a response. An object has up to 1 MiB, and a page about 500 objects
/// or 1 MB.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Added to the wait of a watch for its timeout.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// A state of the store from which a watch continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WatchPosition {
    /// Era of the revision.
    pub(crate) era: Option<StoreEra>,
    /// Revision after which changes are returned.
    pub(crate) revision: Revision,
}

impl WatchPosition {
    /// Returns the position after changes up to `revision` were returned. A stale watch
    /// may return an older revision than the known one.
    pub(crate) fn advanced_to(self, revision: Revision) -> Self {
        Self {
            revision: revision.max(self.revision),
            ..self
        }
    }
}

/// The objects of a kind.
#[derive(Clone, Debug)]
pub(crate) struct ObjectList {
    /// Objects whose names can be read, each once.
    pub(crate) objects: Vec<StoreObject>,
    /// Position of the first page.
    pub(crate) position: WatchPosition,
    /// Whether all objects were shown. If not, one that is missing may exist.
    pub(crate) is_whole: bool,
}

/// Makes calls to the store; clones share the connection pool.
///
/// A call during which the store turns out to have been restored from a copy fails
/// with [`StoreError::Restored`], whatever its response says.
#[derive(Clone)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    calls: StoreCalls,
    pool: ConnectionPool,
    era: EraMonitor,
    /// Gaps of the latest list of each kind that had some: objects without a readable name, and
    /// whether all others were shown.
    gaps: Rc<RefCell<HashMap<String, (usize, bool)>>>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr, pool: ConnectionPool) -> Self {
        Self {
            address,
            calls: StoreCalls::new(address),
            pool,
            era: EraMonitor::new(),
            gaps: Rc::default(),
        }
    }

    /// Returns the monitor of restores of the store.
    pub(crate) fn era(&self) -> &EraMonitor {
        &self.era
    }

    /// Reads all objects of a kind, page by page. Those whose names can't be read are left
    /// out.
    pub(crate) async fn list(
        &self,
        kind: &str,
        read: ReadConsistency,
    ) -> Result<ObjectList, StoreError> {
        let mut list = CollectedList::default();
        let mut after: Option<String> = None;
        loop {
            let page = self.page(kind, after.as_deref(), read).await;
            let step = match page {
                Err(error) if list.walk.is_at_rejectable_place() && is_rejection(&error) => {
                    list.walk.record_rejection()
                }
                page => list.record_page(page?, self.era.latest())?,
            };
            match step {
                ListStep::PageAfter(place) => after = Some(place),
                ListStep::End { is_whole } => {
                    self.log_gaps(kind, list.unreadable, is_whole);
                    return list.finish(is_whole);
                }
            }
        }
    }

    /// Reads one object; returns `None` if it doesn't exist.
    pub(crate) async fn read(
        &self,
        kind: &str,
        name: &str,
        read: ReadConsistency,
    ) -> Result<Option<StoreObject>, StoreError> {
        let response = self.call(self.calls.read(kind, name, read)).await?;
        match decode_object(response.status, &response.body) {
            Ok(object) => Ok(Some(object)),
            Err(StoreError::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Waits up to `wait` for changes of a kind after `position`.
    pub(crate) async fn watch(
        &self,
        kind: &str,
        position: WatchPosition,
        wait: Duration,
        read: ReadConsistency,
    ) -> Result<ChangePage, StoreError> {
        if position.era != self.era.latest() {
            // The revision may exist again, with other changes before it.
            return Err(StoreError::Restored);
        }
        let request = self.calls.watch(kind, position.revision, wait, read);
        let response = self
            .call_within(request, wait + WATCH_TIMEOUT_MARGIN)
            .await?;
        let page = decode_changes(response.status, &response.body)?;
        log_unreadable(kind, page.unreadable);
        Ok(page)
    }

    /// Writes one object if `condition` holds. Returns the written object, or
    /// `StoreError::Conflict` if the condition doesn't hold.
    pub(crate) async fn write<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        contents: &T,
        condition: WriteCondition,
    ) -> Result<StoreObject, StoreError> {
        let request = self.calls.write(kind, name, contents, condition);
        let response = self.call(request).await?;
        decode_object(response.status, &response.body)
    }

    /// Removes one object.
    pub(crate) async fn remove(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        let response = self.call(self.calls.remove(kind, name)).await?;
        decode_removal(response.status, &response.body)
    }

    /// Logs the gaps of a list unless they are those of the latest one.
    fn log_gaps(&self, kind: &str, unreadable: usize, is_whole: bool) {
        let gaps = (unreadable, is_whole);
        let mut logged = self.gaps.borrow_mut();
        let latest = logged.insert(kind.to_owned(), gaps);
        if gaps != latest.unwrap_or((0, true)) {
            tracing::warn!(
                kind,
                unreadable,
                is_whole,
                "objects whose names can't be read are left out of the list"
            );
        }
    }

    async fn page(
        &self,
        kind: &str,
        after: Option<&str>,
        read: ReadConsistency,
    ) -> Result<ObjectPage, StoreError> {
        let response = self.call(self.calls.list(kind, after, read)).await?;
        decode_page(response.status, &response.body)
    }

    async fn call(
        &self,
        request: Result<Request<Bytes>, EncodeError>,
    ) -> Result<BufferedResponse, StoreError> {
        self.call_within(request, CALL_TIMEOUT).await
    }

    async fn call_within(
        &self,
        request: Result<Request<Bytes>, EncodeError>,
        time: Duration,
    ) -> Result<BufferedResponse, StoreError> {
        let limits = CallLimits {
            time,
            body_bytes: MAX_RESPONSE_BYTES,
        };
        let era = self.era.latest();
        let endpoint = Endpoint::Address(self.address);
        let request = Ok(request?);
        let response = tokio::select! {
            response = call(&self.pool, endpoint, self.address, request, limits) => response,
            () = self.era.changed_from(era), if era.is_some() => {
                return Err(StoreError::Restored);
            }
        };
        let response = response.map_err(|error| match error {
            CallError::NotSent(detail) | CallError::NotOpened(detail) | CallError::Lost(detail) => {
                StoreError::NoResponse(detail)
            }
        })?;
        self.check_era(response)
    }

    /// Returns the response unless it shows that the store was restored since the call
    /// was sent, or is from before a restore.
    fn check_era(&self, response: BufferedResponse) -> Result<BufferedResponse, StoreError> {
        let Some(era) = decode_era(&response.headers) else {
            return Ok(response);
        };
        match self.era.record(era, EraSource::Store) {
            EraChange::Unchanged | EraChange::First => Ok(response),
            EraChange::Restored(_) | EraChange::Outdated => Err(StoreError::Restored),
        }
    }
}

/// The pages of a list that were read so far.
#[derive(Default)]
struct CollectedList {
    walk: ListWalk,
    /// Objects by their names, as a page may show some of an earlier one again.
    objects: BTreeMap<String, StoreObject>,
    unreadable: usize,
    /// Position of the first page. A watch from there includes the changes made while the
    /// other pages were read.
    position: Option<WatchPosition>,
}

impl CollectedList {
    /// Records a page that was read in the era `era`; returns how the list goes on.
    fn record_page(
        &mut self,
        page: ObjectPage,
        era: Option<StoreEra>,
    ) -> Result<ListStep, StoreError> {
        let revision = page.revision;
        let first = self.position.get_or_insert(WatchPosition { era, revision });
        if first.era != era {
            return Err(StoreError::Restored);
        }
        let names: Vec<Option<&str>> = page
            .objects
            .iter()
            .map(|object| object.as_ref().map(|one| one.name.as_str()))
            .collect();
        self.unreadable += names.iter().filter(|name| name.is_none()).count();
        let step = self.walk.record_page(&names, page.is_truncated);
        let named = page.objects.into_iter().flatten();
        self.objects
            .extend(named.map(|object| (object.name.clone(), object)));
        Ok(step)
    }

    fn finish(self, is_whole: bool) -> Result<ObjectList, StoreError> {
        match self.position {
            Some(position) => Ok(ObjectList {
                objects: self.objects.into_values().collect(),
                position,
                is_whole,
            }),
            None => Err(StoreError::Malformed("the list has no page".to_owned())),
        }
    }
}

/// Returns whether the store has read a call and rejects it as wrong.
fn is_rejection(error: &StoreError) -> bool {
    match error {
        StoreError::UnexpectedStatus(StatusCode::TOO_MANY_REQUESTS) => false,
        StoreError::UnexpectedStatus(status) => status.is_client_error(),
        _ => false,
    }
}

/// Logs objects without a name, which can't be used.
fn log_unreadable(kind: &str, objects: usize) {
    if objects > 0 {
        tracing::warn!(kind, objects, "objects that can't be read are left out");
    }
}
