//! Publishes the state of the data centre's upstreams to the entry processes.
//!
//! No single source is complete. The configuration defines the upstreams, the
//! platform's fleet list shows which of them are leaving and which were purchased
//! since, the engines report their roles, and orders in progress determine which
//! engines are draining. The lease holder merges these sources into one view.

mod actor;
mod composer;
mod readers;

pub(crate) use actor::{FleetActor, FleetContext, FleetUpstreams, Observe, OverrideAvailability};
pub use composer::FleetComposer;
pub(crate) use readers::{FleetReader, follow_configuration};
