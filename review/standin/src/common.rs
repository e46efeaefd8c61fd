//! What several cases share.

use crate::gateway::{Deployment, Gateway};
use crate::store::Store;
use crate::{Run, cloud};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
pub const HOST: &str = "ficu95.example";

/// Bounds of the base sites, in the words of `deploy/gateway.ini`.
pub const BOUNDS: &str = "revocation = 5000ms\nconfiguration = 2000ms\nshutdown = 8s\n\
     lease = 3000ms\nrepeat-ratio = 0.2\nrepeat-slack = 58\nrepeat-window = 10s\n\
     usage-window = 5s\nusage-due = 10s\n";

pub const CONTRACTS: &str =
    "base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform";

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("a time").as_millis() as u64
}

/// Returns a configuration of these routes and services with one tenant.
pub fn configuration(version: u64, routes: Vec<Value>, services: &[&str]) -> Value {
    let services: Vec<Value> = services
        .iter()
        .map(|name| json!({"name": name, "healthPath": "/healthz", "maxConnections": 250}))
        .collect();
    json!({
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "huka270", "apiKeys": [KEY], "priority": 1}],
    })
}

/// Starts `count` gateways, each in a zone of its own, and waits until they are ready.
pub fn start_gateways(run: &Run, store: &Store, count: usize) -> Result<Vec<Gateway>, String> {
    let deployment = Deployment {
        root: run.root.clone(),
        folder: run.folder.clone(),
        store: store.address,
        cloud: cloud::start("127.0.0.1", run.record.clone()),
        bounds: BOUNDS.to_owned(),
        contracts: CONTRACTS.to_owned(),
        memory_mb: 260,
    };
    let net = free_net(count).ok_or("no loopback network is free")?;
    let gateways: Vec<Gateway> = (0..count)
        .map(|number| {
            let ip = format!("{net}.{}", number + 1);
            deployment.start(&format!("edge-{number}"), &format!("zone-{number}"), &ip)
        })
        .collect();
    for gateway in &gateways {
        if !gateway.wait_until_ready(Duration::from_secs(20)) {
            return Err(format!("{} isn't ready", gateway.name));
        }
    }
    Ok(gateways)
}

/// Returns the first three numbers of loopback addresses on which the ports of `count`
/// gateways are free.
fn free_net(count: usize) -> Option<String> {
    let first = std::process::id();
    let nets = (0..250).map(|step| format!("127.{}.{}", 80 + first % 40, 2 + (first + step) % 250));
    let is_free = |net: &String| {
        (1..=count).all(|host| {
            let ports = [8405, 8406, 7661];
            ports
                .iter()
                .all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
                && UdpSocket::bind(format!("{net}.{host}:7662")).is_ok()
        })
    };
    nets.into_iter().find(is_free)
}

/// Returns a runner's entry in the store.
pub fn entry(
    service: &str,
    address: SocketAddr,
    zone: usize,
    version: &str,
    slots: usize,
    born: u64,
) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": format!("zone-{zone}"),
        "version": version, "slots": slots, "state": "ready", "coldRemainingMs": 0, "seq": 0,
        "born": born,
    })
}

/// Random numbers from 0 to 1.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(0x9e37_79b9_7f4a_7c15 ^ (seed << 17) ^ u64::from(std::process::id()))
    }

    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}
