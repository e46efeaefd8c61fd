//! Tasks that feed the configuration and the platform's fleet list to the fleet
//! actor.

use super::actor::{FleetActor, Publish, SetConfiguration, SetPlatformList};
use crate::clock::BootTime;
use crate::handover::FleetListSnapshot;
use crate::lease::Authority;
use lagoonlift_platform::PlatformClient;
use lagoonlift_types::Configuration;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;
use xtra::Address;

/// Interval between reads of the fleet list. A leaving upstream must get no new
/// requests after three seconds, which include the propagation of the view.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Forwards each configuration to the fleet actor until the actor stops.
pub(crate) async fn follow_configuration(
    mut configurations: watch::Receiver<Arc<Configuration>>,
    fleet: Address<FleetActor>,
) {
    loop {
        let configuration = Arc::clone(&configurations.borrow_and_update());
        if fleet.send(SetConfiguration(configuration)).await.is_err() {
            return;
        }
        if configurations.changed().await.is_err() {
            return;
        }
    }
}

/// Polls the platform's fleet list while this process holds the lease.
#[derive(Debug)]
pub(crate) struct FleetReader {
    pub(crate) client: PlatformClient,
    pub(crate) authority: Authority,
    pub(crate) fleet: Address<FleetActor>,
    /// Channel to which each list is sent after it was read, for the other tasks of this
    /// process.
    pub(crate) lists: watch::Sender<Option<Arc<FleetListSnapshot>>>,
}

impl FleetReader {
    /// Runs until the fleet actor stops.
    pub(crate) async fn run(mut self) {
        loop {
            self.authority.wait_for_grant().await;
            if self.fleet.send(Publish).await.is_err() {
                return;
            }
            match self.client.fleet().await {
                Ok(list) => {
                    let snapshot = FleetListSnapshot {
                        list: list.clone(),
                        read_at: BootTime::now(),
                    };
                    self.lists.send_replace(Some(Arc::new(snapshot)));
                    if self.fleet.send(SetPlatformList(list)).await.is_err() {
                        return;
                    }
                }
                Err(error) => tracing::debug!(%error, "failed to read the fleet list"),
            }
            sleep(LIST_POLL_INTERVAL).await;
        }
    }
}
