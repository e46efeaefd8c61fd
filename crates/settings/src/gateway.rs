//! Settings of a gateway: an entry process whose configuration, fleet and
//! duties lie in a shared store.
//!
//! The file is written by whoever runs the fleet, from a template. A value that
//! the template found nothing for is empty and counts as left out; keys and
//! sections that nobody knows are ignored, so that the template may be newer
//! than the program.

use crate::SettingsError;
use crate::document::{SectionReader, SettingValue, SettingsDocument, read_text};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// All settings of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// `[host]`: who this host is.
    pub host: GatewayHost,
    /// `[listen]`: where it listens.
    pub listen: GatewayListen,
    /// `[store]`: the shared store.
    pub store: StoreSettings,
    /// `[duties]`: where usage is reported and upstreams are ordered.
    pub duties: Option<DutySettings>,
    /// `[bounds]`: times and shares that have to be kept.
    pub bounds: GatewayBounds,
}

/// Who a gateway's host is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayHost {
    /// `name`.
    pub name: String,
    /// `data-centre`.
    pub data_centre: String,
    /// `address`: the host's IP number.
    pub address: IpAddr,
}

/// Where a gateway listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayListen {
    /// `callers`: for requests.
    pub callers: SocketAddr,
    /// `readiness`: for the balancer's questions.
    pub readiness: SocketAddr,
    /// `metrics`: for the scraper.
    pub metrics: Option<SocketAddr>,
    /// `peers`: UDP, for other hosts.
    pub peers: Option<SocketAddr>,
}

/// The shared store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// `address`.
    pub address: SocketAddr,
}

/// Duties that one host at a time has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutySettings {
    /// `address`.
    pub address: SocketAddr,
    /// `names`: the duties that there are, by the platform's names.
    pub names: String,
}

/// Times and shares that have to be kept.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayBounds {
    /// `revocation`: a withdrawn key must be refused after this time.
    pub revocation: Duration,
    /// `configuration`: a change must be in force after this time.
    pub configuration: Duration,
    /// `shutdown`: a process is killed this long after it was asked to stop.
    pub shutdown_timeout: Duration,
    /// `lease`: two holders must not take turns within this time.
    pub lease_term: Duration,
    /// `repeat-ratio`: repeats for each request, over all hosts.
    pub retry_ratio: f64,
    /// `repeat-slack`: repeats beside them in a window, over all hosts.
    pub retry_slack: f64,
    /// `repeat-window`: length of the sliding window of repeats.
    pub retry_window: Duration,
    /// `usage-window`: length of a usage window.
    pub usage_window: Duration,
    /// `usage-due`: a window's report is due this long after its end.
    pub usage_due: Duration,
}

impl GatewaySettings {
    /// Reads and checks the settings in `file`.
    ///
    /// # Errors
    ///
    /// Fails on the first setting that is missing or wrong, and names the file,
    /// the section and the key.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        Self::parse(file, &read_text(file)?)
    }

    /// Checks the settings in `text`, which came from `file`.
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
        Ok(Self {
            host,
            listen,
            store: StoreSettings {
                address: store.require("address")?,
            },
            duties: duties.map(read_duties).transpose()?.flatten(),
            bounds: read_bounds(bounds)?,
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
    section.drop_empty();
    Ok(GatewayListen {
        callers: section.require("callers")?,
        readiness: section.require("readiness")?,
        metrics: section.take("metrics")?,
        peers: section.take("peers")?,
    })
}

fn read_duties(mut section: SectionReader) -> Result<Option<DutySettings>, SettingsError> {
    section.drop_empty();
    let Some(address) = section.take("address")? else {
        return Ok(None);
    };
    Ok(Some(DutySettings {
        address,
        names: section.take("names")?.unwrap_or_default(),
    }))
}

/// Reads the bounds. One that is left out isn't in force; the value in its place
/// is one that is safe to keep.
fn read_bounds(mut section: SectionReader) -> Result<GatewayBounds, SettingsError> {
    section.drop_empty();
    let mut time = |key: &str, otherwise: Duration| -> Result<Duration, SettingsError> {
        Ok(section.take(key)?.unwrap_or(otherwise))
    };
    let revocation = time("revocation", Duration::from_secs(5))?;
    let configuration = time("configuration", Duration::from_secs(2))?;
    let shutdown_timeout = time("shutdown", Duration::from_secs(8))?;
    let lease_term = time("lease", Duration::from_secs(3))?;
    let retry_window = time("repeat-window", Duration::from_secs(10))?;
    let usage_window = time("usage-window", Duration::from_secs(5))?;
    let usage_due = time("usage-due", Duration::from_secs(10))?;
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
