//! Reads the configuration from the platform.
//!
//! Hosts replicate the configuration among themselves, so only the candidates of
//! a data centre read it from the platform, and the number of calls doesn't grow
//! with the fleet. The reader skips manifests whose revision isn't newer than the
//! one in force, for example those of a platform that was restored from older data,
//! and offers all others to the node's configuration store. The store makes the same
//! check, because a peer may have put a newer revision in force in the meantime.

use crate::candidate::CandidateFlag;
use lagoonlift_hosts::{ConfigurationStore, OfferOutcome};
use lagoonlift_platform::{PlatformClient, PlatformError, Version};
use lagoonlift_types::{ChunkDigest, Manifest};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time after which the platform ends a watch that saw no change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before the next attempt after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Watches `config/manifest` while this process is a candidate.
#[derive(Debug)]
pub(crate) struct ConfigurationReader {
    client: PlatformClient,
    store: Arc<ConfigurationStore>,
    candidate: CandidateFlag,
}

impl ConfigurationReader {
    pub(crate) fn new(
        client: PlatformClient,
        store: Arc<ConfigurationStore>,
        candidate: CandidateFlag,
    ) -> Self {
        Self {
            client,
            store,
            candidate,
        }
    }

    /// Runs until dropped.
    pub(crate) async fn run(mut self) {
        loop {
            self.candidate.wait_until_set().await;
            if let Err(error) = self.follow_manifest().await {
                tracing::debug!(%error, "failed to read the configuration from the platform");
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Reads the configuration and every change to it until this process is no
    /// longer a candidate or a call fails.
    async fn follow_manifest(&self) -> Result<(), PlatformError> {
        let list = self.client.list(Manifest::KEY).await?;
        let mut after = list.version;
        for object in list.objects {
            self.offer(object.parse()?).await?;
        }
        while self.candidate.is_set() {
            after = self.wait_for_change(after).await?;
        }
        Ok(())
    }

    async fn wait_for_change(&self, after: Version) -> Result<Version, PlatformError> {
        let changes = self
            .client
            .watch(Manifest::KEY, after, WATCH_TIMEOUT)
            .await?;
        for change in changes.changes {
            if let Some(value) = change.value.filter(|_| change.key == Manifest::KEY) {
                self.offer(parse_manifest(value)?).await?;
            }
        }
        Ok(changes.version)
    }

    /// Offers the manifest and the chunks that the store lacks, unless its revision
    /// isn't newer than the one in force.
    async fn offer(&self, manifest: Manifest) -> Result<(), PlatformError> {
        if manifest.revision <= self.store.revision() {
            return Ok(());
        }
        let mut chunks = BTreeMap::new();
        for digest in self.store.missing_chunks(&manifest) {
            if let Some(text) = self.read_chunk(digest).await? {
                chunks.insert(digest, text);
            }
        }
        let revision = manifest.revision;
        match self.store.offer(manifest, chunks) {
            OfferOutcome::Accepted => tracing::info!(%revision, "configuration in force"),
            OfferOutcome::Older => {}
            offer @ (OfferOutcome::Incomplete | OfferOutcome::Malformed) => {
                tracing::warn!(%revision, ?offer, "rejected a configuration");
            }
        }
        Ok(())
    }

    async fn read_chunk(&self, digest: ChunkDigest) -> Result<Option<Vec<u8>>, PlatformError> {
        let Some(object) = self.client.get(&Manifest::chunk_key(digest)).await? else {
            return Ok(None);
        };
        let mut value = object.value;
        value.sort_all_objects();
        let text = serde_json::to_vec(&value).map_err(|error| PlatformError::Malformed {
            detail: format!("{}: {error}", object.key),
        })?;
        Ok(Some(text))
    }
}

fn parse_manifest(value: Value) -> Result<Manifest, PlatformError> {
    serde_json::from_value(value).map_err(|error| PlatformError::Malformed {
        detail: format!("{}: {error}", Manifest::KEY),
    })
}
