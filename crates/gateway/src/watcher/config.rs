//! Watches the configuration and renews the confirmation that it is current.

use super::{
    MAX_RETRY_DELAY, back_off_after, pause_if_immediate, record_failure, watch_consistency,
};
use crate::clock;
use crate::state::GatewayState;
use crate::store::WatchPosition;
use crate::store_gate::StoreGate;
use crate::version_store;
use lagoonlift_adapter::listing::{CONFIG_KIND, CONFIG_NAME, decode_config};
use lagoonlift_adapter::store::{ReadConsistency, StoreError, StoreObject};
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::MIN_HOSTS_FOR_SHARED_READS;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Wait of a watch on the configuration. A watch returns changes at once; the
/// confirmation that the configuration is current comes from separate reads.
const CONFIG_WATCH_WAIT: Duration = Duration::from_secs(10);

/// Range from which the age is drawn at which a read of the store renews the
/// confirmation, unless a peer has given a younger one. In milliseconds.
const CONFIRMATION_READ_MS: std::ops::Range<u64> = 1_100..1_600;

/// The same range for a store reader, which reads on behalf of many hosts.
const READER_CONFIRMATION_READ_MS: std::ops::Range<u64> = 600..900;

/// The same range for the other hosts, as shares of the time within which a changed
/// configuration has to be in force.
const NON_READER_AGE_SHARES: std::ops::Range<f64> = 0.5..0.65;

/// Age up to which a confirmation needs no renewal after the store was unavailable.
const FRESH_CONFIRMATION: Duration = Duration::from_millis(250);

/// Polling interval for the age of the confirmation.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Watches the configuration until the process ends.
pub(crate) async fn follow_config(state: Rc<GatewayState>) {
    let mut position = None;
    loop {
        let pass = StoreGate::enter(&state).await;
        if pass.is_probe() {
            position = None;
        }
        let sent_at = clock::now();
        let result = match position {
            None => list_config(&state)
                .await
                .map(|next| (next, ReadConsistency::Linearizable)),
            Some(position) => watch_config(&state, position).await,
        };
        pass.record(&result);
        match result {
            Ok((next, read)) => {
                if read == ReadConsistency::Linearizable {
                    record_confirmation(&state, sent_at);
                }
                position = Some(next);
            }
            Err(error) => {
                position = None;
                record_failure(&state, "configuration", &error);
                back_off_after(&state, &error).await;
            }
        }
    }
}

/// Reads the configuration when its confirmation is old or a peer has a newer
/// version, until the process ends.
pub(crate) async fn renew_confirmation(state: Rc<GatewayState>) {
    loop {
        wait_until_renewal_due(&state).await;
        let pass = StoreGate::enter(&state).await;
        let age = state.confirmation().age(clock::now());
        if !pass.is_probe() && age.is_some_and(|age| age < FRESH_CONFIRMATION) {
            // Another task has read the configuration while this one waited.
            continue;
        }
        let sent_at = clock::now();
        let result = list_config(&state).await;
        pass.record(&result);
        match result {
            Ok(_) => {
                if !record_confirmation(&state, sent_at) {
                    sleep(MAX_RETRY_DELAY).await;
                }
            }
            Err(error) => {
                record_failure(&state, "proof", &error);
                back_off_after(&state, &error).await;
            }
        }
    }
}

/// Reads the configuration and puts it into force if it is newer than the current one.
pub(crate) async fn read_config(state: &GatewayState) -> Result<(), StoreError> {
    let sent_at = clock::now();
    list_config(state).await?;
    record_confirmation(state, sent_at);
    Ok(())
}

/// Records a linearizable read of the configuration that was sent at `sent_at`. Returns
/// whether it confirms the version in force.
fn record_confirmation(state: &GatewayState, sent_at: Timestamp) -> bool {
    let mut freshness = state.freshness.borrow_mut();
    let is_confirmed = freshness.record_linearizable_read(sent_at);
    if !is_confirmed {
        tracing::warn!("the store returned an older configuration than a known one");
    }
    is_confirmed
}

/// Draws the age at which this host reads the store to renew the confirmation.
fn confirmation_read_age(state: &GatewayState) -> Duration {
    let mut rng = rand::rng();
    let read_ms = match state.is_store_reader() {
        _ if state.max_host_count() < MIN_HOSTS_FOR_SHARED_READS => CONFIRMATION_READ_MS,
        true => READER_CONFIRMATION_READ_MS,
        false => {
            let share = rng.random_range(NON_READER_AGE_SHARES);
            return state.settings.bounds.configuration.mul_f64(share);
        }
    };
    Duration::from_millis(rng.random_range(read_ms))
}

/// Waits until the confirmation is old or a peer has a newer configuration.
async fn wait_until_renewal_due(state: &GatewayState) {
    let limit = confirmation_read_age(state);
    loop {
        if timeout(CONFIRMATION_POLL_INTERVAL, state.config_outdated.notified())
            .await
            .is_ok()
        {
            return;
        }
        let age = state.confirmation().age(clock::now());
        if age.is_none_or(|age| age > limit) {
            return;
        }
    }
}

async fn list_config(state: &GatewayState) -> Result<WatchPosition, StoreError> {
    let read = ReadConsistency::Linearizable;
    let list = state.store.list(CONFIG_KIND, read).await?;
    let mut objects = list.objects.into_iter();
    let config = match objects.find(|object| object.name == CONFIG_NAME) {
        None if !list.is_whole => state.store.read(CONFIG_KIND, CONFIG_NAME, read).await?,
        config => config,
    };
    match config {
        Some(object) => apply_config(state, &object),
        None => state.freshness.borrow_mut().record_absence(),
    }
    Ok(list.position)
}

/// Waits for changes of the configuration. A stale watch may return them late; the
/// linearizable reads that renew the confirmation bound that delay.
async fn watch_config(
    state: &GatewayState,
    position: WatchPosition,
) -> Result<(WatchPosition, ReadConsistency), StoreError> {
    let read = watch_consistency(state);
    let started = clock::now();
    let page = state
        .store
        .watch(CONFIG_KIND, position, CONFIG_WATCH_WAIT, read)
        .await?;
    pause_if_immediate(started, &page).await;
    for change in page.changes.iter().filter(|change| !change.is_removed) {
        apply_config(state, &change.object);
    }
    Ok((position.advanced_to(page.revision), read))
}

/// Puts a configuration into force if it is newer than the current one.
fn apply_config(state: &GatewayState, object: &StoreObject) {
    if object.name != CONFIG_NAME {
        return;
    }
    let config = match decode_config(&object.contents) {
        Ok(config) => config,
        Err(error) => {
            // The object is read again and again; each revision is logged once.
            if state.malformed_config.replace(object.revision.0) != object.revision.0 {
                tracing::error!(revision = object.revision.0, %error, "malformed configuration");
            }
            return;
        }
    };
    if !state.freshness.borrow_mut().accept(config.version()) {
        return;
    }
    tracing::info!(
        version = config.version().0,
        revision = object.revision.0,
        routes = config.routes().len(),
        "configuration in force"
    );
    state.quota_state.apply_config(&config);
    version_store::apply_config(state, &config);
    *state.config.borrow_mut() = Some(Rc::new(config));
}
