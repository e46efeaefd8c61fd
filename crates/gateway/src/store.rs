//! HTTP client of the shared store.

use crate::connection::{BufferedResponse, CallError, ConnectionPool, Endpoint, call};
use bytes::Bytes;
use http::Request;
use lagoonlift_adapter::store::{
    ChangePage, ObjectPage, ReadConsistency, Revision, StoreCalls, StoreError, StoreObject,
    WriteCondition, decode_changes, decode_object, decode_page, decode_removal,
};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Added to the wait of a watch for its timeout.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Makes calls to the store; clones share the connection pool.
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

    /// Reads all objects of a kind, page by page. The revision is that of the first
    /// page.
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
            // A watch from the first page's revision includes the changes made while
            // the other pages were read.
            let revision = *first_revision.get_or_insert(page.revision);
            let is_last = !page.is_truncated || page.objects.is_empty();
            objects.extend(page.objects);
            if is_last {
                return Ok((objects, revision));
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

    /// Waits up to `wait` for changes of a kind after `revision`.
    pub(crate) async fn watch(
        &self,
        kind: &str,
        revision: Revision,
        wait: Duration,
        read: ReadConsistency,
    ) -> Result<ChangePage, StoreError> {
        let request = self.calls.watch(kind, revision, wait, read);
        let response = self
            .call_within(request, wait + WATCH_TIMEOUT_MARGIN)
            .await?;
        decode_changes(response.status, &response.body)
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

    async fn page(
        &self,
        kind: &str,
        after: Option<&str>,
        read: ReadConsistency,
    ) -> Result<ObjectPage, StoreError> {
        let response = self.call(self.calls.list(kind, after, read)).await?;
        decode_page(response.status, &response.body)
    }

    async fn call(&self, request: Request<Bytes>) -> Result<BufferedResponse, StoreError> {
        self.call_within(request, CALL_TIMEOUT).await
    }

    async fn call_within(
        &self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<BufferedResponse, StoreError> {
        let endpoint = Endpoint::Address(self.address);
        let result = call(&self.pool, endpoint, self.address, request, limit).await;
        result.map_err(|error| match error {
            CallError::NotSent(detail) | CallError::NotOpened(detail) | CallError::Lost(detail) => {
                StoreError::NoResponse(detail)
            }
        })
    }
}
