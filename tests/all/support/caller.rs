//! A caller with or without a key.

use reqwest::{Client, RequestBuilder};
use serde_json::Value;

/// A caller of one entry host.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    client: Client,
    url: String,
    key: Option<String>,
}

impl Caller {
    /// Creates a caller that sends `key`.
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

    /// Returns the entry's address.
    pub(crate) fn url(&self) -> String {
        self.url.clone()
    }

    /// Prepares a chat completion.
    pub(crate) fn chat(&self, body: &Value) -> RequestBuilder {
        let url = format!("{}/v1/chat/completions", self.url);
        self.with_key(self.client.post(url)).json(body)
    }

    /// Prepares a GET.
    pub(crate) fn get(&self, path: &str) -> RequestBuilder {
        self.with_key(self.client.get(format!("{}{path}", self.url)))
    }

    /// Prepares a POST.
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
