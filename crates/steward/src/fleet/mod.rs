//! What the entry processes are told about the data centre's upstreams.
//!
//! The configuration says which upstreams there are meant to be, the platform's
//! list which of them are leaving and which were ordered since, the engines
//! themselves which role they have, and the orders under way which of them
//! drain. The holder of the lease merges all that into one view.

mod actor;
mod composer;
mod readers;

pub(crate) use actor::{FleetActor, FleetContext, FleetUpstreams, Observe, OverrideAvailability};
pub use composer::FleetComposer;
pub(crate) use readers::{FleetReader, follow_configuration};
