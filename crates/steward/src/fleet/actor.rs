//! Owns the fleet view and publishes it while this process holds the lease.

use super::FleetComposer;
use crate::lease::Authority;
use lagoonlift_hosts::PeerNode;
use lagoonlift_platform::wire::FleetList;
use lagoonlift_types::{
    Availability, Configuration, DataCentreName, Epoch, FleetView, UpstreamName, UpstreamRole,
    UpstreamStatus,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::watch;
use xtra::{Actor, Context, Handler};

/// The upstreams of a data centre by name.
pub(crate) type FleetUpstreams = BTreeMap<UpstreamName, UpstreamStatus>;

/// Configuration and connections of a fleet actor.
pub(crate) struct FleetContext {
    pub(crate) data_centre: DataCentreName,
    pub(crate) node: PeerNode,
    pub(crate) authority: Authority,
    /// Channel to which each new state of the upstreams is sent, for the other tasks of
    /// this process.
    pub(crate) upstreams: watch::Sender<Arc<FleetUpstreams>>,
}

/// Owns the fleet view of one data centre.
#[derive(Actor)]
pub(crate) struct FleetActor {
    composer: FleetComposer,
    context: FleetContext,
    published: Option<FleetView>,
    /// The last epoch in which the previous holder's view was merged.
    carried_over_epoch: Option<Epoch>,
}

/// Replaces the configuration.
pub(crate) struct SetConfiguration(pub(crate) Arc<Configuration>);

/// Replaces the platform's fleet list.
pub(crate) struct SetPlatformList(pub(crate) FleetList);

/// Records the result of a status query to an engine.
pub(crate) struct Observe {
    pub(crate) upstream: UpstreamName,
    /// The reported role; `None` if the engine didn't respond.
    pub(crate) role: Option<UpstreamRole>,
}

/// Overrides an upstream's availability while an order is in progress. `None`
/// removes the override.
pub(crate) struct OverrideAvailability {
    pub(crate) upstream: UpstreamName,
    pub(crate) availability: Option<Availability>,
}

/// Publishes the view if it differs from the one last published in this epoch. Sent
/// when the lease is acquired and then before each read of the fleet list.
pub(crate) struct Publish;

impl FleetActor {
    pub(crate) fn new(context: FleetContext) -> Self {
        Self {
            composer: FleetComposer::new(context.data_centre.clone()),
            context,
            published: None,
            carried_over_epoch: None,
        }
    }

    /// Merges the view that the previous holder published, once per epoch.
    fn carry_over(&mut self) {
        let epoch = self.context.authority.epoch();
        if epoch.is_none() || epoch == self.carried_over_epoch {
            return;
        }
        self.carried_over_epoch = epoch;
        let fleets = Arc::clone(&self.context.node.fleets().borrow());
        if let Some(view) = fleets.get(&self.context.data_centre) {
            self.composer.carry_over(view);
        }
    }

    fn publish(&mut self) {
        let upstreams = self.composer.compose();
        self.context.upstreams.send_if_modified(|known| {
            let changed = **known != upstreams;
            if changed {
                *known = Arc::new(upstreams.clone());
            }
            changed
        });
        let Some(epoch) = self.context.authority.epoch() else {
            return;
        };
        if let Some(view) = self.next_view(epoch, upstreams) {
            self.context.node.publish_fleet(view.clone());
            self.published = Some(view);
        }
    }

    /// Returns the view to publish, or `None` if it equals the last published one.
    fn next_view(&self, epoch: Epoch, upstreams: FleetUpstreams) -> Option<FleetView> {
        let last = self.published.as_ref().filter(|view| view.epoch == epoch);
        if last.is_some_and(|view| view.upstreams == upstreams) {
            return None;
        }
        Some(FleetView {
            data_centre: self.context.data_centre.clone(),
            epoch,
            version: last.map_or(1, |view| view.version + 1),
            upstreams,
        })
    }
}

impl Handler<SetConfiguration> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: SetConfiguration, _: &mut Context<Self>) {
        let capacity = message.0.data_centres.get(&self.context.data_centre);
        let upstreams = capacity.map(|capacity| capacity.upstreams.clone());
        self.composer.set_configured(upstreams.unwrap_or_default());
        self.publish();
    }
}

impl Handler<SetPlatformList> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: SetPlatformList, _: &mut Context<Self>) {
        self.carry_over();
        self.composer.set_platform_list(&message.0);
        self.publish();
    }
}

impl Handler<Observe> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: Observe, _: &mut Context<Self>) {
        self.composer.observe(message.upstream, message.role);
        self.publish();
    }
}

impl Handler<OverrideAvailability> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: OverrideAvailability, _: &mut Context<Self>) {
        self.composer
            .override_availability(message.upstream, message.availability);
        self.publish();
    }
}

impl Handler<Publish> for FleetActor {
    type Return = ();

    async fn handle(&mut self, _: Publish, _: &mut Context<Self>) {
        self.carry_over();
        self.publish();
    }
}
