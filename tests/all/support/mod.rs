//! Support for the tests that run daemons as separate processes: starting them,
//! writing their settings, sending requests and waiting for states.

mod caller;
mod daemon;
mod host_settings;
mod hosts;
pub(crate) mod stewards;
mod test_deployment;
mod transcript;
mod wait;

pub(crate) use caller::Caller;
pub(crate) use daemon::{
    DaemonProcess, ProcessSignal, entry_program, operator_program, steward_program,
};
pub(crate) use host_settings::{HostSettings, loopback};
pub(crate) use hosts::{HostGroup, PEER_KEY_BYTES};
pub(crate) use test_deployment::TestDeployment;
pub(crate) use transcript::SessionTranscript;
pub(crate) use wait::{HANG_GUARD, eventually};
