//! Reloads the settings on SIGHUP and when the file has changed.
//!
//! Only the staleness bounds (`revocation` and `configuration`) change at run time.
//! A change of any other setting, including the other bounds, takes effect at the
//! next start of the process. Every reload is logged.

use crate::state::GatewayState;
use lagoonlift_settings::GatewaySettings;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

/// Polling interval for changes of the file without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings until the process ends.
pub(crate) async fn follow_settings(state: Rc<GatewayState>, file: PathBuf) {
    let mut signals = match signal(SignalKind::hangup()) {
        Ok(signals) => signals,
        Err(error) => {
            tracing::error!(%error, "can't handle SIGHUP; settings are not reloaded");
            return;
        }
    };
    let mut current = state.settings.clone();
    let mut last_error = String::new();
    loop {
        // Wait for a signal or for the polling interval.
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
                    tracing::error!(
                        error,
                        "changed settings are invalid; keeping the current ones"
                    );
                }
                last_error = error;
                continue;
            }
        };
        if settings == current && !has_signal {
            continue;
        }
        // This compares two sections with the last loaded file, which may already
        // differ from what the process runs with. Other settings that need a restart
        // aren't compared.
        let host_and_listen_unchanged =
            settings.host == current.host && settings.listen == current.listen;
        tracing::info!(
            is_asked = has_signal,
            takes_effect = host_and_listen_unchanged,
            "settings reloaded"
        );
        state.set_bounds(&settings.bounds);
        current = settings;
    }
}
