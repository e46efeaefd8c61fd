//! Settings of a gateway: an entry process whose configuration, fleet and
//! duties are kept in a shared store.
//!
//! The operator of the fleet generates the file from a template. A placeholder
//! without a value leaves an empty value, which counts as missing. Unknown keys and
//! sections are ignored, so that the template may be newer than the program.

use crate::SettingsError;
use crate::document::{SectionReader, SettingValue, SettingsDocument, read_text};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// Memory of a host whose settings state none: that of the smallest hosts in service.
const DEFAULT_MEMORY_MB: f64 = 120.0;

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Settings of a gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// `[host]`: name and address of the host.
    pub host: GatewayHost,
    /// `[listen]`: addresses on which it listens.
    pub listen: GatewayListen,
    /// `[store]`: the shared store.
    pub store: StoreSettings,
    /// `[duties]`: the service to which usage is reported and from which upstreams
    /// are ordered; `None` if the deployment has no such service.
    pub duties: Option<DutySettings>,
    /// `[bounds]`: limits on times and retries.
    pub bounds: GatewayBounds,
    /// `[upstreams]`, `rules`: the platform's rules for upstreams, under its names for them.
    pub upstream_rules: String,
    /// `[limits]`: resources of the host.
    pub limits: GatewayLimits,
}

/// Identity of the gateway's host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayHost {
    /// `name`: name of the host.
    pub name: String,
    /// `data-centre`: name of the host's data centre.
    pub data_centre: String,
    /// `address`: IP address of the host.
    pub address: IpAddr,
}

/// Addresses on which a gateway listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayListen {
    /// `callers`: for callers' requests.
    pub callers: SocketAddr,
    /// `readiness`: for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// `metrics`: for the metrics scraper.
    pub metrics: Option<SocketAddr>,
    /// `peers`: UDP, for messages from other hosts.
    pub peers: Option<SocketAddr>,
}

/// Location of the shared store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// `address`: address of its HTTP server.
    pub address: SocketAddr,
}

/// The duties, which only the lease holder performs: usage reports and orders of
/// upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutySettings {
    /// `address`: address of the service that receives usage reports and orders.
    pub address: SocketAddr,
    /// `names`: the duties of this deployment, under the platform's names for them.
    pub names: String,
}

/// Limits on times and retries that the gateway must observe.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayBounds {
    /// `revocation`: longest time after its revocation for which a key may still be
    /// accepted.
    pub revocation: Duration,
    /// `configuration`: longest time until a change of the configuration takes effect.
    pub configuration: Duration,
    /// `shutdown`: time between the request to stop and the kill of the process.
    pub shutdown_timeout: Duration,
    /// `lease`: term of the lease, within which it must not change holders twice.
    pub lease_term: Duration,
    /// `repeat-ratio`: retries per request, over all hosts.
    pub retry_ratio: f64,
    /// `repeat-slack`: retries per window in addition to `repeat-ratio`, over all
    /// hosts.
    pub retry_slack: f64,
    /// `repeat-window`: length of the sliding window of the retry budget.
    pub retry_window: Duration,
    /// `usage-window`: length of a usage window.
    pub usage_window: Duration,
    /// `usage-due`: time after the end of a usage window at which its report is due.
    pub usage_due: Duration,
    /// `quota-window`: length of the sliding window of the workspaces' quotas.
    pub quota_window: Duration,
    /// `quota-overrun`: share of a quota by which it may be exceeded, over all hosts.
    pub quota_overrun: f64,
    /// `quota-slack`: tokens per window in addition to that, over all hosts.
    pub quota_slack: f64,
}

/// Resources of the gateway's host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayLimits {
    /// `memory-mb`: memory of the host, in bytes here.
    pub memory_bytes: u64,
}

impl GatewaySettings {
    /// Reads and validates the settings in `file`.
    ///
    /// # Errors
    ///
    /// Fails on the first setting that is missing or invalid. The error names the
    /// file, the section and the key.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        Self::parse(file, &read_text(file)?)
    }

    /// Parses and validates `text`, the content of `file`.
    ///
    /// # Errors
    ///
    /// See [`GatewaySettings::load`].
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let mut document = SettingsDocument::parse(file, text)?;
        let host = read_host(document.require("host")?)?;
        let listen = read_listen(document.require("listen")?)?;
        let mut store = document.require("store")?;
        let duties = document.take("duties");
        let bounds = document.take("bounds");
        let bounds = bounds.unwrap_or_else(|| document.empty("bounds"));
        let upstreams = document.take("upstreams");
        let limits = document.take("limits");
        let limits = limits.unwrap_or_else(|| document.empty("limits"));
        Ok(Self {
            host,
            listen,
            store: StoreSettings {
                address: store.require("address")?,
            },
            duties: duties.map(read_duties).transpose()?.flatten(),
            bounds: read_bounds(bounds)?,
            upstream_rules: upstreams
                .map(read_upstreams)
                .transpose()?
                .unwrap_or_default(),
            limits: read_limits(limits)?,
        })
    }
}

fn read_host(mut section: SectionReader) -> Result<GatewayHost, SettingsError> {
    Ok(GatewayHost {
        name: section.require("name")?,
        data_centre: section.require("data-centre")?,
        address: section.require("address")?,
    })
}

fn read_listen(mut section: SectionReader) -> Result<GatewayListen, SettingsError> {
    section.remove_empty();
    Ok(GatewayListen {
        callers: section.require("callers")?,
        readiness: section.require("readiness")?,
        metrics: section.take("metrics")?,
        peers: section.take("peers")?,
    })
}

fn read_duties(mut section: SectionReader) -> Result<Option<DutySettings>, SettingsError> {
    section.remove_empty();
    let Some(address) = section.take("address")? else {
        return Ok(None);
    };
    Ok(Some(DutySettings {
        address,
        names: section.take("names")?.unwrap_or_default(),
    }))
}

/// Reads the bounds. A bound that is missing doesn't apply to the deployment; its
/// default is a value that is safe to observe anyway.
fn read_bounds(mut section: SectionReader) -> Result<GatewayBounds, SettingsError> {
    section.remove_empty();
    let mut time = |key: &str, default: Duration| -> Result<Duration, SettingsError> {
        Ok(section.take(key)?.unwrap_or(default))
    };
    let revocation = time("revocation", Duration::from_secs(5))?;
    let configuration = time("configuration", Duration::from_secs(2))?;
    let shutdown_timeout = time("shutdown", Duration::from_secs(8))?;
    let lease_term = time("lease", Duration::from_secs(3))?;
    let retry_window = time("repeat-window", Duration::from_secs(10))?;
    let usage_window = time("usage-window", Duration::from_secs(5))?;
    let usage_due = time("usage-due", Duration::from_secs(10))?;
    let quota_window = time("quota-window", Duration::from_secs(8))?;
    Ok(GatewayBounds {
        revocation,
        configuration,
        shutdown_timeout,
        lease_term,
        retry_ratio: section.take("repeat-ratio")?.unwrap_or(0.1),
        retry_slack: section.take("repeat-slack")?.unwrap_or(10.0),
        retry_window,
        usage_window,
        usage_due,
        quota_window,
        quota_overrun: section.take("quota-overrun")?.unwrap_or(0.1),
        quota_slack: section.take("quota-slack")?.unwrap_or(120_000.0),
    })
}

fn read_upstreams(mut section: SectionReader) -> Result<String, SettingsError> {
    section.remove_empty();
    Ok(section.take("rules")?.unwrap_or_default())
}

fn read_limits(mut section: SectionReader) -> Result<GatewayLimits, SettingsError> {
    section.remove_empty();
    let memory_mb = section.take("memory-mb")?.unwrap_or(DEFAULT_MEMORY_MB);
    Ok(GatewayLimits {
        memory_bytes: (memory_mb * BYTES_PER_MB) as u64,
    })
}

impl SettingValue for IpAddr {
    const EXPECTED: &'static str = "an IP number, such as 10.1.0.7";

    fn parse(text: &str) -> Result<Self, String> {
        text.parse().map_err(|_| String::new())
    }
}

impl SettingValue for f64 {
    const EXPECTED: &'static str = "a number from zero on";

    fn parse(text: &str) -> Result<Self, String> {
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
            _ => Err(String::new()),
        }
    }
}
