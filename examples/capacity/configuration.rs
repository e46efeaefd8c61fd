//! Measures the size, memory and parsing time of configurations of several sizes.

use crate::{median_time, report, resident_bytes};
use lagoonlift::platform::PlatformClient;
use lagoonlift::types::{
    Chunk, ChunkDigest, Class, ClassName, Configuration, DataCentreCapacity, DataCentreName,
    FencingSupport, KeyDigest, Limits, Manifest, ModelName, Revision, Supply, Upstream,
    UpstreamKind, UpstreamName, UpstreamRole, Urgency, Workspace, WorkspaceName,
};
use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Active workspaces at the target size.
const TARGET_WORKSPACES: usize = 260;
/// Data centres at the target size.
const TARGET_DATA_CENTRES: usize = 15;
/// Engines of each data centre at the target size.
const TARGET_ENGINES_PER_DATA_CENTRE: usize = 800;
/// Models in use at the target size.
const MODELS: usize = 18;
/// Request classes of each workspace.
const CLASSES_PER_WORKSPACE: usize = 6;
/// Valid keys of each workspace.
const KEYS_PER_WORKSPACE: usize = 20;
/// Timeout of a platform call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes in a kilobyte; the figures use decimal kilobytes.
const KILOBYTE: f64 = 1_000.0;

pub(crate) fn measure() -> eyre::Result<()> {
    measure_target_size()?;
    measure_chunks()?;
    measure_manifest()
}

/// Publishes a configuration of the target size, or with `engines` engines in
/// each data centre, to a platform that has none yet.
#[tokio::main(flavor = "current_thread")]
pub(crate) async fn publish(platform: SocketAddr, engines: Option<usize>) -> eyre::Result<()> {
    let client = PlatformClient::new(platform, "operator".to_owned(), CALL_TIMEOUT);
    let engines = engines.unwrap_or(TARGET_ENGINES_PER_DATA_CENTRE);
    let mut full = configuration(TARGET_WORKSPACES, TARGET_DATA_CENTRES, engines)?;
    full.revision = Revision(1);
    let (manifest, texts) = Manifest::split(&full)?;
    for (digest, text) in texts {
        let value: serde_json::Value = serde_json::from_slice(&text)?;
        client.create(&Manifest::chunk_key(digest), &value).await?;
    }
    client.create(Manifest::KEY, &manifest).await?;
    Ok(())
}

fn measure_chunks() -> eyre::Result<()> {
    let workspace = Chunk::Workspace(Arc::new(workspace(0)?));
    let text = Manifest::chunk_text(&workspace)?;
    report(
        "workspace chunk, 6 classes and 20 keys",
        text.len() as f64,
        "bytes",
    );
    for engines in [50, 100, 200, 400, TARGET_ENGINES_PER_DATA_CENTRE] {
        let capacity = Chunk::DataCentre(Arc::new(capacity(0, engines)?));
        let text = Manifest::chunk_text(&capacity)?;
        let name = format!("data centre chunk, {engines} engines");
        report(&name, text.len() as f64, "bytes");
    }
    Ok(())
}

fn measure_manifest() -> eyre::Result<()> {
    for workspaces in [65, 130, TARGET_WORKSPACES] {
        let (manifest, _) = Manifest::split(&configuration(workspaces, TARGET_DATA_CENTRES, 1)?)?;
        let text = serde_json::to_vec(&manifest)?;
        let name = format!("manifest, {} chunks", manifest.chunks.len());
        report(&name, text.len() as f64, "bytes");
    }
    Ok(())
}

fn measure_target_size() -> eyre::Result<()> {
    let before_bytes = resident_bytes()?;
    let full = configuration(
        TARGET_WORKSPACES,
        TARGET_DATA_CENTRES,
        TARGET_ENGINES_PER_DATA_CENTRE,
    )?;
    let used_bytes = resident_bytes()?.saturating_sub(before_bytes);
    report(
        "configuration at the target size, in memory",
        used_bytes as f64 / KILOBYTE,
        "KB",
    );

    let before_bytes = resident_bytes()?;
    let (manifest, texts) = Manifest::split(&full)?;
    let used_bytes = resident_bytes()?.saturating_sub(before_bytes);
    report(
        "its chunks' texts, in memory",
        used_bytes as f64 / KILOBYTE,
        "KB",
    );
    let bytes: usize = texts.values().map(Vec::len).sum();
    report(
        "its chunks' texts, on the wire",
        bytes as f64 / KILOBYTE,
        "KB",
    );

    let time = median_time(|| {
        black_box(manifest.assemble(|digest| texts.get(&digest)).ok());
    });
    report("assembling all of it", time.as_secs_f64() * 1e3, "ms");
    measure_chunk_times(&manifest, &texts);
    Ok(())
}

fn measure_chunk_times(manifest: &Manifest, texts: &BTreeMap<ChunkDigest, Vec<u8>>) {
    let mut digests = manifest.chunks.iter();
    let largest = digests
        .clone()
        .map(|(_, digest)| &texts[digest])
        .max_by_key(|t| t.len());
    let first = digests.next().map(|(_, digest)| &texts[digest]);
    for (name, text) in [("workspace", first), ("data centre", largest)] {
        let Some(text) = text else { continue };
        let time = median_time(|| {
            black_box(serde_json::from_slice::<Chunk>(text).ok());
            black_box(ChunkDigest::of(text));
        });
        let name = format!("parsing and checking one {name} chunk");
        report(&name, time.as_secs_f64() * 1e6, "us");
    }
}

fn configuration(
    workspaces: usize,
    data_centres: usize,
    engines: usize,
) -> eyre::Result<Configuration> {
    let mut configuration = Configuration::default();
    for number in 0..workspaces {
        let name = WorkspaceName::new(&format!("workspace-{number:03}"))?;
        configuration
            .workspaces
            .insert(name, Arc::new(workspace(number)?));
    }
    for number in 0..data_centres {
        let name = DataCentreName::new(&format!("data-centre-{number:02}"))?;
        let capacity = capacity(number, engines)?;
        configuration.data_centres.insert(name, Arc::new(capacity));
    }
    Ok(configuration)
}

fn workspace(number: usize) -> eyre::Result<Workspace> {
    let keys = (0..KEYS_PER_WORKSPACE).map(|key| KeyDigest::of(&format!("{number}/{key}")));
    let mut classes = BTreeMap::new();
    for class in 0..CLASSES_PER_WORKSPACE {
        let value = Class {
            urgency: Urgency::Normal,
            idempotent: true,
            deadline: Duration::from_secs(30),
        };
        classes.insert(ClassName::new(&format!("class-{class}"))?, value);
    }
    Ok(Workspace {
        keys: keys.collect(),
        models: BTreeSet::from([model(number)?, model(number + 1)?]),
        classes,
        routes: BTreeMap::new(),
        limits: Limits {
            requests_per_second: 100.0,
            tokens_per_second: 50_000.0,
            burst_seconds: 10.0,
        },
        weight: 1,
    })
}

fn capacity(number: usize, engines: usize) -> eyre::Result<DataCentreCapacity> {
    let mut upstreams = BTreeMap::new();
    for engine in 0..engines {
        let name = UpstreamName::new(&format!("runner-{number:02}-{engine:04}"))?;
        let port = u16::try_from(9_000 + engine)?;
        let upstream = Upstream {
            address: SocketAddr::from(([10, 20, 30, 40], port)),
            kind: UpstreamKind::Engine {
                models: BTreeSet::from([model(engine)?]),
                role: UpstreamRole::Mixed,
                fencing: FencingSupport::Checked,
            },
            supply: Supply::Reserved,
        };
        upstreams.insert(name, upstream);
    }
    Ok(DataCentreCapacity {
        upstreams,
        order_limit: 40,
    })
}

fn model(number: usize) -> eyre::Result<ModelName> {
    Ok(ModelName::new(&format!("model-{:02}", number % MODELS))?)
}
