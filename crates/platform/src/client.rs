//! Calls of the platform's interfaces.

use crate::{ObjectChanges, ObjectList, PlatformError, Version, VersionedObject, wire};
use reqwest::header::{IF_MATCH, IF_NONE_MATCH, RETRY_AFTER};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::Serialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long an idle connection is kept. Short, because a connection that has
/// gone silent for good costs a whole timeout when it is used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Calls the platform with one bearer token. Cheap to clone.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    shared: Arc<ClientParts>,
}

struct ClientParts {
    http: Client,
    base: String,
    token: String,
    timeout: Duration,
}

impl std::fmt::Debug for ClientParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClientParts")
            .field("base", &self.base)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl PlatformClient {
    /// Creates a client of the platform at `address`.
    ///
    /// A call without an answer after `timeout` counts as lost.
    ///
    /// # Panics
    ///
    /// Panics when the TLS library can't be set up, which is an error of the
    /// build.
    pub fn new(address: SocketAddr, token: String, timeout: Duration) -> Self {
        let http = Client::builder()
            .connect_timeout(timeout)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()
            .expect("a client without files or environment can always be built");
        Self {
            shared: Arc::new(ClientParts {
                http,
                base: format!("http://{address}"),
                token,
                timeout,
            }),
        }
    }

    /// Returns how long a call waits for its answer.
    pub fn timeout(&self) -> Duration {
        self.shared.timeout
    }

    /// Reads an object; `None` when it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be asked.
    pub async fn get(&self, key: &str) -> Result<Option<VersionedObject>, PlatformError> {
        let response = self.send(self.object(Method::GET, key)).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let object: wire::StoredObject = self.parse(response).await?;
        Ok(Some(object.into()))
    }

    /// Reads an object as a `T`, with its version.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be asked or the value isn't a `T`.
    pub async fn get_as<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(T, Version)>, PlatformError> {
        let object = self.get(key).await?;
        object
            .map(|object| Ok((object.parse()?, object.version)))
            .transpose()
    }

    /// Writes an object that doesn't exist yet.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Conflict`] when it exists, and see
    /// [`PlatformError`].
    pub async fn create<T: Serialize>(
        &self,
        key: &str,
        value: &T,
    ) -> Result<Version, PlatformError> {
        let request = self.object(Method::PUT, key);
        self.write(request.header(IF_NONE_MATCH, "*").json(value))
            .await
    }

    /// Replaces an object that still has the given version.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Conflict`] when it has another version or
    /// doesn't exist, and see [`PlatformError`].
    pub async fn update<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        version: Version,
    ) -> Result<Version, PlatformError> {
        let request = self.object(Method::PUT, key);
        self.write(request.header(IF_MATCH, entity_tag(version)).json(value))
            .await
    }

    /// Deletes an object that still has the given version.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Conflict`] when it has another version or
    /// doesn't exist, and see [`PlatformError`].
    pub async fn delete(&self, key: &str, version: Version) -> Result<(), PlatformError> {
        let request = self.object(Method::DELETE, key);
        self.write(request.header(IF_MATCH, entity_tag(version)))
            .await
            .map(|_| ())
    }

    /// Reads all objects whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be asked.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        // Keys are made of checked names, so nothing in a query needs escaping.
        let path = format!("/objects?prefix={prefix}");
        let response = self.send(self.request(Method::GET, &path)).await?;
        let list: wire::ObjectList = self.parse(response).await?;
        Ok(ObjectList {
            version: Version(list.version),
            objects: list
                .objects
                .into_iter()
                .map(VersionedObject::from)
                .collect(),
        })
    }

    /// Waits up to `wait` for changes under `prefix` later than `after`.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be asked.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<ObjectChanges, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let request = self.request(Method::GET, &path);
        let timeout = wait + self.shared.timeout;
        let response = self.send(request.timeout(timeout)).await?;
        let answer: wire::WatchAnswer = self.parse(response).await?;
        Ok(ObjectChanges {
            version: Version(answer.version),
            changes: answer.changes,
        })
    }

    /// Reports the usage of one window.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`]; a lost answer is repeated with the same figures.
    pub async fn report_usage(&self, report: &wire::UsageReport) -> Result<(), PlatformError> {
        let request = self.request(Method::POST, "/usage-reports").json(report);
        let response = self.send(request).await?;
        self.parse::<IgnoredAny>(response).await.map(|_| ())
    }

    /// Orders upstreams or gives some back.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`]; a lost answer is repeated with the same identifier.
    pub async fn order_upstreams(&self, order: &wire::UpstreamOrder) -> Result<(), PlatformError> {
        let request = self.request(Method::POST, "/upstream-orders").json(order);
        let response = self.send(request).await?;
        self.parse::<IgnoredAny>(response).await.map(|_| ())
    }

    /// Reads the lagging list of live and leaving hosts and upstreams.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be asked.
    pub async fn fleet(&self) -> Result<wire::FleetList, PlatformError> {
        let response = self.send(self.request(Method::GET, "/fleet")).await?;
        self.parse(response).await
    }

    /// Asks for permission to let an engine read a model's weights.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::RateLimited`] when it has to wait, and see
    /// [`PlatformError`].
    pub async fn acquire_weights(
        &self,
        request: &wire::WeightRequest,
    ) -> Result<wire::WeightGrant, PlatformError> {
        let request = self.request(Method::POST, "/weights").json(request);
        let response = self.send(request).await?;
        self.parse(response).await
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.shared.base);
        let request = self.shared.http.request(method, url);
        request
            .bearer_auth(&self.shared.token)
            .timeout(self.shared.timeout)
    }

    fn object(&self, method: Method, key: &str) -> RequestBuilder {
        self.request(method, &format!("/objects/{key}"))
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, PlatformError> {
        let sent = request.send().await;
        sent.map_err(|error| PlatformError::from_transport(&error))
    }

    async fn write(&self, request: RequestBuilder) -> Result<Version, PlatformError> {
        let response = self.send(request).await?;
        if response.status() == StatusCode::PRECONDITION_FAILED {
            let answer: wire::ConflictAnswer = read_body(response).await?;
            let current = answer.current.map(|object| Box::new(object.into()));
            return Err(PlatformError::Conflict { current });
        }
        let answer: wire::WriteAnswer = self.parse(response).await?;
        Ok(Version(answer.version))
    }

    async fn parse<T: DeserializeOwned>(&self, response: Response) -> Result<T, PlatformError> {
        read_body(self.check(response)?).await
    }

    fn check(&self, response: Response) -> Result<Response, PlatformError> {
        let status = response.status();
        match status.is_success() {
            true => Ok(response),
            false => Err(PlatformError::from_status(status, retry_after(&response))),
        }
    }
}

/// Reads a JSON body. An unreadable one counts as a lost answer: whatever was
/// asked for may have happened.
async fn read_body<T: DeserializeOwned>(response: Response) -> Result<T, PlatformError> {
    response
        .json()
        .await
        .map_err(|error| PlatformError::OutcomeUnknown {
            detail: error.to_string(),
        })
}

fn retry_after(response: &Response) -> Option<Duration> {
    let seconds = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    seconds.parse().ok().map(Duration::from_secs)
}

fn entity_tag(version: Version) -> String {
    format!("\"{version}\"")
}
