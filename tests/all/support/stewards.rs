//! Steward daemons of one data centre as separate processes, with the platform
//! stand-in in the test's own process.

use super::steward_program;
use super::{DaemonProcess, HostSettings, eventually, loopback};
use lagoonlift::types::{
    Configuration, DataCentreCapacity, DataCentreName, FencingSupport, Manifest, ModelName,
    Revision, Supply, Upstream, UpstreamKind, UpstreamName, UpstreamRole,
};
use lagoonlift_standins::engine::{EngineConfig, EngineStandin};
use lagoonlift_standins::platform::{FleetEntry, PlatformStandin};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Steward daemons `s0`, `s1` and so on of `dc1`, and their platform.
pub(crate) struct StewardGroup {
    pub(crate) platform: PlatformStandin,
    stewards: Vec<DaemonProcess>,
}

impl StewardGroup {
    /// Starts a platform and no steward daemon.
    pub(crate) async fn start() -> Self {
        let platform = PlatformStandin::start(loopback()).await;
        Self {
            platform: platform.expect("a free port"),
            stewards: Vec::new(),
        }
    }

    /// Starts the next steward daemon and adds its host to the platform's fleet list.
    pub(crate) fn add_steward(&mut self) {
        let name = format!("s{}", self.stewards.len());
        self.platform.set_host(&name, FleetEntry::live("dc1"));
        let settings = HostSettings::new(&name, "dc1", self.platform.addr());
        let settings = settings.with_lines("[usage]\nwindow = 1s");
        let settings = match self.stewards.first() {
            Some(first) => settings.with_seed("s0", first),
            None => settings,
        };
        let steward = DaemonProcess::start(steward_program(), &settings.text());
        self.stewards.push(steward);
    }

    /// Returns the process of the steward daemon on host `s{index}`.
    pub(crate) fn steward(&self, index: usize) -> &DaemonProcess {
        &self.stewards[index]
    }

    /// Waits until the steward daemon `index` holds the lease; returns its epoch.
    pub(crate) async fn wait_for_holder(&self, index: usize) -> u64 {
        let host = format!("s{index}");
        eventually("the steward to hold the lease", || async {
            let lease = self.platform.object("leases/dc1")?;
            let is_holder = lease["identity"]["process"]["host"] == host.as_str();
            lease["epoch"].as_u64().filter(|_| is_holder)
        })
        .await
    }

    /// Waits until the value of the object `key` satisfies a condition; returns the
    /// value.
    pub(crate) async fn wait_for_object(&self, key: &str, holds: impl Fn(&Value) -> bool) -> Value {
        eventually(key, || async { self.platform.object(key).filter(&holds) }).await
    }

    /// Publishes a configuration of `dc1` with this engine, or with no engine.
    pub(crate) fn publish(&self, engine: Option<(&EngineStandin, FencingSupport)>) {
        let upstreams = engine.map(|(engine, fencing)| {
            let kind = UpstreamKind::Engine {
                models: BTreeSet::from([model()]),
                role: UpstreamRole::Mixed,
                fencing,
            };
            let upstream = Upstream {
                address: engine.addr(),
                kind,
                supply: Supply::Reserved,
            };
            (UpstreamName::new("e1").expect("a valid name"), upstream)
        });
        let capacity = DataCentreCapacity {
            upstreams: upstreams.into_iter().collect(),
            order_limit: 4,
        };
        let name = DataCentreName::new("dc1").expect("a valid name");
        let configuration = Configuration {
            revision: Revision(1),
            workspaces: BTreeMap::new(),
            data_centres: BTreeMap::from([(name, Arc::new(capacity))]),
        };
        let (manifest, chunks) = Manifest::split(&configuration).expect("plain values");
        for (digest, text) in chunks {
            let value = serde_json::from_slice(&text).expect("JSON text");
            self.platform
                .put_object(&Manifest::chunk_key(digest), value);
        }
        let manifest = serde_json::to_value(&manifest).expect("plain values");
        self.platform.put_object(Manifest::KEY, manifest);
    }
}

fn model() -> ModelName {
    ModelName::new("tide-7b").expect("a valid name")
}

/// Starts an engine that takes `order_duration` to carry out an order.
pub(crate) fn start_engine(fencing: FencingSupport, order_duration: Duration) -> EngineStandin {
    let mut config = EngineConfig::new(BTreeSet::from([model()]));
    config.fencing = fencing;
    config.order_duration = order_duration;
    EngineStandin::start(loopback(), config).expect("a free port")
}
