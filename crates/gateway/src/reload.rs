//! Reads the settings again on SIGHUP and when the file has changed.
//!
//! Addresses and names of a running process can't change; the bounds can. A
//! change of anything else is logged and takes effect at the next start.

use crate::host::Host;
use lagoonlift_settings::GatewaySettings;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

/// Time between two looks at the file without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the settings file, for ever.
pub(crate) async fn follow_settings(host: Rc<Host>, file: PathBuf) {
    let mut signals = match signal(SignalKind::hangup()) {
        Ok(signals) => signals,
        Err(error) => {
            tracing::error!(%error, "SIGHUP can't be handled");
            return;
        }
    };
    let mut current = host.settings.clone();
    let mut last_error = String::new();
    loop {
        // Either a signal came or it is time to look anyway.
        let has_signal = match timeout(POLL_INTERVAL, signals.recv()).await {
            Ok(Some(())) => true,
            Ok(None) => {
                sleep(POLL_INTERVAL).await;
                false
            }
            Err(_) => false,
        };
        let settings = match GatewaySettings::load(&file) {
            Ok(settings) => settings,
            Err(error) => {
                let error = error.to_string();
                if error != last_error {
                    tracing::error!(error, "the changed settings are refused");
                }
                last_error = error;
                continue;
            }
        };
        if settings == current && !has_signal {
            continue;
        }
        let takes_effect = settings.host == current.host && settings.listen == current.listen;
        tracing::info!(is_asked = has_signal, takes_effect, "settings reloaded");
        host.set_bounds(&settings.bounds);
        current = settings;
    }
}
