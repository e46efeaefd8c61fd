//! Settings and configuration of the daemon under test.

use super::{HEARTBEAT, KEY, OTHER_KEY, PEER_KEY, data_centre, loopback, model};
use lagoonlift_settings::{
    EntrySettings, HostSettings, LogFormat, LogSettings, PeerKey, PeerSeed, PeerSettings,
    PlatformSettings, Settings, UsageSettings,
};
use lagoonlift_standins::engine::EngineStandin;
use lagoonlift_standins::platform::PlatformStandin;
use lagoonlift_types::{
    Class, ClassName, Configuration, DataCentreCapacity, DataCentreName, FencingSupport, HostName,
    KeyDigest, Limits, PlainRoute, Revision, RouteAccess, RouteName, Supply, Upstream,
    UpstreamKind, UpstreamName, UpstreamRole, Urgency, Workspace, WorkspaceName,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub(crate) fn settings(
    name: &str,
    platform: &PlatformStandin,
    seed: SocketAddr,
    max_body_bytes: u64,
) -> Settings {
    Settings {
        host: HostSettings {
            name: HostName::new(name).expect("a valid name"),
            data_centre: data_centre(),
        },
        platform: PlatformSettings {
            address: platform.addr(),
            token: "token".to_owned(),
            timeout: Duration::from_millis(500),
        },
        peers: PeerSettings {
            key: PeerKey(PEER_KEY),
            other_key: None,
            heartbeat: HEARTBEAT,
            seeds: vec![PeerSeed {
                name: HostName::new("neighbour").expect("a valid name"),
                entry: Some(seed),
                steward: None,
            }],
        },
        entry: Some(EntrySettings {
            listen: loopback(),
            admin_listen: loopback(),
            peer_listen: loopback(),
            max_body_bytes,
            drain_timeout: Duration::from_secs(20),
        }),
        steward: None,
        usage: UsageSettings {
            window: Duration::from_secs(60),
        },
        log: LogSettings {
            format: LogFormat::Plain,
            filter: "info".to_owned(),
        },
    }
}

pub(crate) fn configuration(
    engines: &[EngineStandin],
    service: SocketAddr,
    limits: Limits,
) -> Configuration {
    let name = |index| UpstreamName::new(&format!("engine-{index}")).expect("a valid name");
    let engine = |index: usize| {
        let kind = UpstreamKind::Engine {
            models: BTreeSet::from([model()]),
            role: UpstreamRole::Mixed,
            fencing: FencingSupport::Checked,
        };
        (name(index), upstream(engines[index].addr(), kind))
    };
    let capacity = |upstreams: BTreeMap<UpstreamName, Upstream>| {
        Arc::new(DataCentreCapacity {
            upstreams,
            order_limit: 0,
        })
    };
    // The first engine is the nearest one, so it gets the first attempt.
    let service = (service_name(), upstream(service, UpstreamKind::Service));
    let near = capacity([engine(0), service].into());
    let far = capacity((1..engines.len()).map(engine).collect());
    let south = DataCentreName::new("south").expect("a valid name");
    let workspaces = [("harbour", KEY), ("reef", OTHER_KEY)].map(|(name, key)| {
        let name = WorkspaceName::new(name).expect("a valid name");
        (name, Arc::new(workspace(key, limits)))
    });
    Configuration {
        revision: Revision(0),
        workspaces: workspaces.into(),
        data_centres: [(data_centre(), near), (south, far)].into(),
    }
}

fn service_name() -> UpstreamName {
    UpstreamName::new("bookings").expect("a valid name")
}

fn upstream(address: SocketAddr, kind: UpstreamKind) -> Upstream {
    Upstream {
        address,
        kind,
        supply: Supply::Reserved,
    }
}

fn workspace(key: &str, limits: Limits) -> Workspace {
    let class = |urgency, idempotent| Class {
        urgency,
        idempotent,
        deadline: Duration::from_secs(20),
    };
    let classes = [
        ("default", class(Urgency::Normal, true)),
        ("once", class(Urgency::Urgent, false)),
    ];
    let routes = [
        ("book", "once", RouteAccess::Keyed),
        ("look", "default", RouteAccess::Keyed),
        ("status", "default", RouteAccess::Open),
    ];
    Workspace {
        keys: BTreeSet::from([KeyDigest::of(key)]),
        models: BTreeSet::from([model()]),
        classes: classes
            .map(|(name, class)| (ClassName::new(name).expect("a valid name"), class))
            .into(),
        routes: routes
            .map(|(name, class, access)| {
                let route = PlainRoute {
                    upstream: service_name(),
                    path: format!("/{name}"),
                    methods: ["GET", "POST"].map(str::to_owned).into(),
                    access,
                    class: ClassName::new(class).expect("a valid name"),
                };
                (RouteName::new(name).expect("a valid name"), route)
            })
            .into(),
        limits,
        weight: 1,
    }
}
