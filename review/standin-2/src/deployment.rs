//! A small deployment: machines, the platform, and the configuration.

use crate::hosts::Host;
use crate::store::{Store, start_platform};
use serde_json::{Value, json};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

pub struct Deployment {
    pub hosts: Vec<Host>,
    pub store: Store,
    folder: PathBuf,
}

/// The configuration: a service of streams without prompts, and one of engines.
pub fn configuration() -> Value {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u32| {
        json!({
            "name": name, "host": "api.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": 300, "priority": 1, "service": service,
            "attempts": 2, "public": false, "sticky": service == "llm",
            "resumable": kind == "streaming", "targetGapMs": 500,
        })
    };
    json!({
        "version": 7,
        "routes": [
            route("read", "idempotent", "desk", 2000),
            route("book", "non_idempotent", "desk", 2000),
            route("tell", "streaming", "desk", 15000),
            route("ask", "streaming", "llm", 4000),
        ],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 200},
            {"name": "llm", "healthPath": "/healthz", "maxConnections": 200, "engine": {
                "slots": 32, "kvTokens": 232000, "kvBytes": 327680, "linkMbps": 8500000.0,
                "kvTtlS": 5.0, "switchS": 3.0,
            }},
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "north", "apiKeys": ["key-north"]}],
    })
}

impl Deployment {
    /// Starts the platform and the store, which has the configuration.
    pub fn new() -> Self {
        let folder =
            std::env::temp_dir().join(format!("lagoonlift-review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start();
        store.put("config", "main", configuration());
        Self {
            hosts: Vec::new(),
            store,
            folder,
        }
    }

    /// Starts the machines; returns whether all have become ready.
    pub fn start_hosts(&mut self, count: usize) -> bool {
        self.start_hosts_apart(count, self.store.address)
    }

    /// Starts the machines, of which the first one has an address of its own for the store.
    pub fn start_hosts_apart(&mut self, count: usize, first: SocketAddr) -> bool {
        let platform = start_platform();
        for number in 1..=count {
            let store = if number == 1 {
                first
            } else {
                self.store.address
            };
            let host = Host::start(number, store, platform, &self.folder);
            self.hosts.push(host);
        }
        self.hosts.iter().all(Host::wait_until_ready)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.clear();
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => println!("logs in {}", self.folder.display()),
            None => fs::remove_dir_all(&self.folder).unwrap_or_default(),
        }
    }
}
