//! An HTTP client that sends requests as a caller, with or without an API key.

use reqwest::{Client, RequestBuilder};
use serde_json::Value;

/// A caller that sends requests to one entry daemon.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    client: Client,
    url: String,
    key: Option<String>,
}

impl Caller {
    /// Creates a caller that authenticates with `key` at the entry daemon at `url`.
    pub(crate) fn new(url: String, key: &str) -> Self {
        Self {
            client: Client::new(),
            url,
            key: Some(key.to_owned()),
        }
    }

    /// Creates a caller that sends no key.
    pub(crate) fn without_key(url: String) -> Self {
        Self {
            client: Client::new(),
            url,
            key: None,
        }
    }

    /// Returns the base URL of the entry daemon.
    pub(crate) fn url(&self) -> String {
        self.url.clone()
    }

    /// Builds a chat completion request with a JSON body.
    pub(crate) fn chat(&self, body: &Value) -> RequestBuilder {
        let url = format!("{}/v1/chat/completions", self.url);
        self.with_key(self.client.post(url)).json(body)
    }

    /// Builds a GET request.
    pub(crate) fn get(&self, path: &str) -> RequestBuilder {
        self.with_key(self.client.get(format!("{}{path}", self.url)))
    }

    /// Builds a POST request with a text body.
    pub(crate) fn post(&self, path: &str, body: &str) -> RequestBuilder {
        let request = self.client.post(format!("{}{path}", self.url));
        self.with_key(request).body(body.to_owned())
    }

    fn with_key(&self, request: RequestBuilder) -> RequestBuilder {
        match &self.key {
            Some(key) => request.bearer_auth(key),
            None => request,
        }
    }
}
