//! HTTP client of the platform's APIs.

use crate::{ObjectChanges, ObjectList, PlatformError, Version, VersionedObject, wire};
use reqwest::header::{IF_MATCH, IF_NONE_MATCH, RETRY_AFTER};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::Serialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an idle connection is closed. It is short because reusing a
/// connection that no longer responds delays a call by a whole timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Client that calls the platform with one bearer token. Clones share the
/// connection pool, so cloning is cheap.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    shared: Arc<ClientParts>,
}

/// The parts of a client that its clones share.
struct ClientParts {
    http: Client,
    base_url: String,
    token: String,
    timeout: Duration,
}

impl std::fmt::Debug for ClientParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClientParts")
            .field("base", &self.base_url)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl PlatformClient {
    /// Creates a client of the platform at `address` that authenticates with
    /// `token`.
    ///
    /// A call without a response after `timeout` fails with
    /// [`PlatformError::OutcomeUnknown`].
    ///
    /// # Panics
    ///
    /// Panics if the TLS library can't be initialized, which indicates a wrong
    /// build configuration.
    pub fn new(address: SocketAddr, token: String, timeout: Duration) -> Self {
        let http = Client::builder()
            .connect_timeout(timeout)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()
            .expect("building a client that reads no files or environment variables succeeds");
        Self {
            shared: Arc::new(ClientParts {
                http,
                base_url: format!("http://{address}"),
                token,
                timeout,
            }),
        }
    }

    /// Returns the timeout of a call. A watch waits longer by its own `wait`.
    pub fn timeout(&self) -> Duration {
        self.shared.timeout
    }

    /// Reads an object. Returns `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn get(&self, key: &str) -> Result<Option<VersionedObject>, PlatformError> {
        let response = self.send(self.object_request(Method::GET, key)).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let object: wire::StoredObject = self.read_success(response).await?;
        Ok(Some(object.into()))
    }

    /// Reads an object, deserializes its value as a `T` and returns it with the
    /// object's version. Returns `None` if the object doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, or [`PlatformError::Malformed`] if the
    /// value isn't a `T`.
    pub async fn get_as<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(T, Version)>, PlatformError> {
        let object = self.get(key).await?;
        object
            .map(|object| Ok((object.parse()?, object.version)))
            .transpose()
    }

    /// Creates an object and returns its version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] if the object already exists, or
    /// another [`PlatformError`] if the call fails.
    pub async fn create<T: Serialize>(
        &self,
        key: &str,
        value: &T,
    ) -> Result<Version, PlatformError> {
        let request = self.object_request(Method::PUT, key);
        self.write(request.header(IF_NONE_MATCH, "*").json(value))
            .await
    }

    /// Replaces the value of an object if it still has the given version, and
    /// returns its new version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] if the object has another version or
    /// doesn't exist, or another [`PlatformError`] if the call fails.
    pub async fn update<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        version: Version,
    ) -> Result<Version, PlatformError> {
        let request = self.object_request(Method::PUT, key);
        self.write(request.header(IF_MATCH, entity_tag(version)).json(value))
            .await
    }

    /// Deletes an object if it still has the given version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] if the object has another version or
    /// doesn't exist, or another [`PlatformError`] if the call fails.
    pub async fn delete(&self, key: &str, version: Version) -> Result<(), PlatformError> {
        let request = self.object_request(Method::DELETE, key);
        self.write(request.header(IF_MATCH, entity_tag(version)))
            .await
            .map(|_| ())
    }

    /// Lists all objects whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        // Keys consist of validated names, so the query needs no escaping.
        let path = format!("/objects?prefix={prefix}");
        let response = self.send(self.request(Method::GET, &path)).await?;
        let list: wire::ObjectList = self.read_success(response).await?;
        Ok(ObjectList {
            version: Version(list.version),
            objects: list
                .objects
                .into_iter()
                .map(VersionedObject::from)
                .collect(),
        })
    }

    /// Waits up to `wait` for changes later than `after` of objects whose keys
    /// start with `prefix`. Returns no changes if there were none in that time.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
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
        let body: wire::WatchAnswer = self.read_success(response).await?;
        Ok(ObjectChanges {
            version: Version(body.version),
            changes: body.changes,
        })
    }

    /// Sends the usage report of one window.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the call fails. If its outcome is unknown,
    /// the report must be sent again with the same figures.
    pub async fn report_usage(&self, report: &wire::UsageReport) -> Result<(), PlatformError> {
        let request = self.request(Method::POST, "/usage-reports").json(report);
        let response = self.send(request).await?;
        self.read_success::<IgnoredAny>(response).await.map(|_| ())
    }

    /// Orders more upstreams or releases one.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the call fails. If its outcome is unknown,
    /// the order must be sent again with the same identifier.
    pub async fn order_upstreams(&self, order: &wire::UpstreamOrder) -> Result<(), PlatformError> {
        let request = self.request(Method::POST, "/upstream-orders").json(order);
        let response = self.send(request).await?;
        self.read_success::<IgnoredAny>(response).await.map(|_| ())
    }

    /// Reads the list of hosts and upstreams, each either live or leaving. The
    /// list may lag behind the actual state.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn fleet(&self) -> Result<wire::FleetList, PlatformError> {
        let response = self.send(self.request(Method::GET, "/fleet")).await?;
        self.read_success(response).await
    }

    /// Requests permission for an engine to read a model's weights.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::RateLimited`] if the engine has to wait, or another
    /// [`PlatformError`] if the call fails.
    pub async fn acquire_weights(
        &self,
        request: &wire::WeightRequest,
    ) -> Result<wire::WeightGrant, PlatformError> {
        let request = self.request(Method::POST, "/weights").json(request);
        let response = self.send(request).await?;
        self.read_success(response).await
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.shared.base_url);
        let request = self.shared.http.request(method, url);
        request
            .bearer_auth(&self.shared.token)
            .timeout(self.shared.timeout)
    }

    fn object_request(&self, method: Method, key: &str) -> RequestBuilder {
        self.request(method, &format!("/objects/{key}"))
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, PlatformError> {
        let sent = request.send().await;
        sent.map_err(|error| PlatformError::from_transport(&error))
    }

    async fn write(&self, request: RequestBuilder) -> Result<Version, PlatformError> {
        let response = self.send(request).await?;
        if response.status() == StatusCode::PRECONDITION_FAILED {
            let body: wire::ConflictAnswer = read_body(response).await?;
            let current = body.current.map(|object| Box::new(object.into()));
            return Err(PlatformError::Conflict { current });
        }
        let body: wire::WriteAnswer = self.read_success(response).await?;
        Ok(Version(body.version))
    }

    async fn read_success<T: DeserializeOwned>(
        &self,
        response: Response,
    ) -> Result<T, PlatformError> {
        read_body(self.check_status(response)?).await
    }

    fn check_status(&self, response: Response) -> Result<Response, PlatformError> {
        let status = response.status();
        match status.is_success() {
            true => Ok(response),
            false => Err(PlatformError::from_status(status, retry_after(&response))),
        }
    }
}

/// Reads a JSON body. If it can't be read, the outcome of the call is unknown,
/// because the platform may have carried the call out.
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
