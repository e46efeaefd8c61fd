//! Client of the shared store.

use crate::connection::{CallError, ConnectionPool, PeerKey, WholeAnswer, call};
use bytes::Bytes;
use http::Request;
use lagoonlift_adapter::store::{
    ChangePage, ObjectPage, ReadConsistency, Revision, StoreCalls, StoreError, StoreObject,
    WriteCondition, decode_changes, decode_object, decode_page, decode_removal,
};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a call counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time beyond the wait of a watch after which it counts as lost.
const WATCH_GRACE: Duration = Duration::from_millis(700);

/// Makes calls to the store.
#[derive(Clone)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    calls: StoreCalls,
    pool: ConnectionPool,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr, pool: ConnectionPool) -> Self {
        Self {
            address,
            calls: StoreCalls::new(address),
            pool,
        }
    }

    /// Reads all objects of a kind.
    pub(crate) async fn list(
        &self,
        kind: &str,
        read: ReadConsistency,
    ) -> Result<(Vec<StoreObject>, Revision), StoreError> {
        let mut objects: Vec<StoreObject> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = objects.last().map(|object| object.name.as_str());
            let page = self.page(kind, after, read).await?;
            // A watch from the first page's revision sees what changed since.
            let revision = *first_revision.get_or_insert(page.revision);
            let is_last = !page.is_truncated || page.objects.is_empty();
            objects.extend(page.objects);
            if is_last {
                return Ok((objects, revision));
            }
        }
    }

    /// Reads one object.
    pub(crate) async fn read(
        &self,
        kind: &str,
        name: &str,
        read: ReadConsistency,
    ) -> Result<Option<StoreObject>, StoreError> {
        let answer = self.call(self.calls.read(kind, name, read)).await?;
        match decode_object(answer.status, &answer.body) {
            Ok(object) => Ok(Some(object)),
            Err(StoreError::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Waits for changes of a kind.
    pub(crate) async fn watch(
        &self,
        kind: &str,
        revision: Revision,
        wait: Duration,
        read: ReadConsistency,
    ) -> Result<ChangePage, StoreError> {
        let request = self.calls.watch(kind, revision, wait, read);
        let answer = self.call_within(request, wait + WATCH_GRACE).await?;
        decode_changes(answer.status, &answer.body)
    }

    /// Writes one object under a condition.
    pub(crate) async fn write<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        contents: &T,
        condition: WriteCondition,
    ) -> Result<StoreObject, StoreError> {
        let request = self.calls.write(kind, name, contents, condition);
        let answer = self.call(request).await?;
        decode_object(answer.status, &answer.body)
    }

    /// Removes one object.
    pub(crate) async fn remove(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        let answer = self.call(self.calls.remove(kind, name)).await?;
        decode_removal(answer.status, &answer.body)
    }

    async fn page(
        &self,
        kind: &str,
        after: Option<&str>,
        read: ReadConsistency,
    ) -> Result<ObjectPage, StoreError> {
        let answer = self.call(self.calls.list(kind, after, read)).await?;
        decode_page(answer.status, &answer.body)
    }

    async fn call(&self, request: Request<Bytes>) -> Result<WholeAnswer, StoreError> {
        self.call_within(request, CALL_TIMEOUT).await
    }

    async fn call_within(
        &self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<WholeAnswer, StoreError> {
        let peer = PeerKey::Address(self.address);
        let result = call(&self.pool, peer, self.address, request, limit).await;
        result.map_err(|error| match error {
            CallError::NotSent(detail) | CallError::NotOpened(detail) | CallError::Lost(detail) => {
                StoreError::NoResponse(detail)
            }
        })
    }
}
