//! Reads and validates the settings of the daemons.

use crate::document::{SectionReader, SettingValue, SettingsDocument, read_text};
use crate::{
    EntrySettings, HostSettings, LogFormat, LogSettings, PeerKey, PeerSeed, PeerSettings,
    PlanWeighting, PlatformSettings, Settings, SettingsError, StewardSettings, UsageSettings,
};
use lagoonlift_types::{DataCentreName, HostName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(500);
const DEFAULT_MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(300);
const DEFAULT_LEASE_TERM: Duration = Duration::from_secs(10);
const DEFAULT_USAGE_WINDOW: Duration = Duration::from_secs(60);
const DEFAULT_LOG_FILTER: &str = "info";

impl Settings {
    /// Reads and validates the settings in `file`.
    ///
    /// # Errors
    ///
    /// Fails on the first setting that is unknown, missing, duplicate or invalid. The
    /// error names the file, the section and the key.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        Self::parse(file, &read_text(file)?)
    }

    /// Parses and validates `text`, the content of `file`.
    ///
    /// # Errors
    ///
    /// See [`Settings::load`].
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let mut document = SettingsDocument::parse(file, text)?;
        let host = read_host(document.require("host")?)?;
        let platform = read_platform(document.require("platform")?)?;
        let seeds = document.take_all("peer.");
        let peers = read_peers(document.require("peers")?, seeds, &host)?;
        let entry = document.take("entry").map(read_entry).transpose()?;
        let steward = document.take("steward").map(read_steward).transpose()?;
        let usage = document.take("usage");
        let usage = read_usage(usage.unwrap_or_else(|| document.empty("usage")))?;
        let log = document.take("log");
        let log = read_log(log.unwrap_or_else(|| document.empty("log")))?;
        document.finish()?;
        Ok(Self {
            host,
            platform,
            peers,
            entry,
            steward,
            usage,
            log,
        })
    }
}

fn read_host(mut section: SectionReader) -> Result<HostSettings, SettingsError> {
    let host = HostSettings {
        name: section.require("name")?,
        data_centre: section.require("data-centre")?,
    };
    section.finish()?;
    Ok(host)
}

pub(crate) fn read_platform(mut section: SectionReader) -> Result<PlatformSettings, SettingsError> {
    let platform = PlatformSettings {
        address: section.require("address")?,
        token: section.require("token")?,
        timeout: section.take("timeout")?.unwrap_or(DEFAULT_PLATFORM_TIMEOUT),
    };
    section.finish()?;
    Ok(platform)
}

fn read_peers(
    mut section: SectionReader,
    seeds: Vec<(String, SectionReader)>,
    host: &HostSettings,
) -> Result<PeerSettings, SettingsError> {
    let mut peers = PeerSettings {
        key: section.require("key")?,
        other_key: section.take("other-key")?,
        heartbeat: section.take("heartbeat")?.unwrap_or(DEFAULT_HEARTBEAT),
        seeds: Vec::new(),
    };
    section.finish()?;
    let mut peer_addresses = BTreeMap::new();
    for (name, section) in seeds {
        peers
            .seeds
            .push(read_seed(&name, section, host, &mut peer_addresses)?);
    }
    Ok(peers)
}

fn read_seed(
    name: &str,
    mut section: SectionReader,
    host: &HostSettings,
    peer_addresses: &mut BTreeMap<SocketAddr, String>,
) -> Result<PeerSeed, SettingsError> {
    let name = HostName::new(name).map_err(|error| section.section_error(error.to_string()))?;
    if name == host.name {
        return Err(section.section_error("this is the host's own name"));
    }
    let seed = PeerSeed {
        name,
        entry: section.take("entry")?,
        steward: section.take("steward")?,
    };
    for (key, address) in [("entry", seed.entry), ("steward", seed.steward)] {
        let earlier =
            address.and_then(|address| peer_addresses.insert(address, seed.name.to_string()));
        if let Some(earlier) = earlier {
            return Err(section.key_error(key, format!("[peer.{earlier}] has this address too")));
        }
    }
    if seed.entry.is_none() && seed.steward.is_none() {
        return Err(section.section_error("neither `entry` nor `steward` has an address"));
    }
    section.finish()?;
    Ok(seed)
}

fn read_entry(mut section: SectionReader) -> Result<EntrySettings, SettingsError> {
    let entry = EntrySettings {
        listen: section.require("listen")?,
        admin_listen: section.require("admin-listen")?,
        peer_listen: section.require("peer-listen")?,
        max_body_bytes: section
            .take::<ByteCount>("max-body")?
            .map_or(DEFAULT_MAX_BODY_BYTES, |b| b.0),
        drain_timeout: section
            .take("drain-timeout")?
            .unwrap_or(DEFAULT_DRAIN_TIMEOUT),
    };
    section.finish()?;
    Ok(entry)
}

fn read_steward(mut section: SectionReader) -> Result<StewardSettings, SettingsError> {
    let steward = StewardSettings {
        admin_listen: section.require("admin-listen")?,
        peer_listen: section.require("peer-listen")?,
        lease_term: section.take("lease-term")?.unwrap_or(DEFAULT_LEASE_TERM),
        plan_weighting: section.take("plan-for")?,
    };
    section.finish()?;
    Ok(steward)
}

fn read_usage(mut section: SectionReader) -> Result<UsageSettings, SettingsError> {
    let usage = UsageSettings {
        window: section.take("window")?.unwrap_or(DEFAULT_USAGE_WINDOW),
    };
    section.finish()?;
    Ok(usage)
}

fn read_log(mut section: SectionReader) -> Result<LogSettings, SettingsError> {
    let log = LogSettings {
        format: section.take("format")?.unwrap_or(LogFormat::Plain),
        filter: section
            .take("filter")?
            .unwrap_or_else(|| DEFAULT_LOG_FILTER.to_owned()),
    };
    section.finish()?;
    Ok(log)
}

/// A size in bytes, written with a unit such as `KiB`.
struct ByteCount(u64);

impl SettingValue for ByteCount {
    const EXPECTED: &'static str = "a size with its unit, such as 64KiB or 8MiB";

    fn parse(text: &str) -> Result<Self, String> {
        let (number, unit) = match text {
            _ if text.ends_with("KiB") => (&text[..text.len() - 3], 1024),
            _ if text.ends_with("MiB") => (&text[..text.len() - 3], 1024 * 1024),
            _ => return Err(String::new()),
        };
        let number = number.trim().parse::<u64>().map_err(|_| String::new())?;
        match number.checked_mul(unit) {
            Some(0) | None => Err(" above zero that fits 64 bits".to_owned()),
            Some(bytes) => Ok(Self(bytes)),
        }
    }
}

impl SettingValue for PeerKey {
    const EXPECTED: &'static str = "64 hexadecimal digits";
    const SECRET: bool = true;

    fn parse(text: &str) -> Result<Self, String> {
        let mut key = [0; 32];
        hex::decode_to_slice(text, &mut key)
            .map_err(|_| format!(", found {} characters", text.len()))?;
        Ok(Self(key))
    }
}

impl SettingValue for LogFormat {
    const EXPECTED: &'static str = "`plain` or `json`";

    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "plain" => Ok(Self::Plain),
            "json" => Ok(Self::Json),
            _ => Err(String::new()),
        }
    }
}

impl SettingValue for PlanWeighting {
    const EXPECTED: &'static str = "`worst-served` or `goodput`";

    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "worst-served" => Ok(Self::WorstServed),
            "goodput" => Ok(Self::Goodput),
            _ => Err(String::new()),
        }
    }
}

impl SettingValue for HostName {
    const EXPECTED: &'static str = "a name of a-z, 0-9, '.', '_' and '-'";

    fn parse(text: &str) -> Result<Self, String> {
        Self::new(text).map_err(|_| String::new())
    }
}

impl SettingValue for DataCentreName {
    const EXPECTED: &'static str = "a name of a-z, 0-9, '.', '_' and '-'";

    fn parse(text: &str) -> Result<Self, String> {
        Self::new(text).map_err(|_| String::new())
    }
}
