//! What the whole-process tests share: daemons, settings, waiting.

mod caller;
mod daemon;
mod deployment;
mod fleet;
mod hosts;
pub(crate) mod stewards;
mod transcript;
mod wait;

pub(crate) use caller::Caller;
pub(crate) use daemon::{
    DaemonProcess, ProcessSignal, entry_program, operator_program, steward_program,
};
pub(crate) use deployment::{HostSettings, loopback};
pub(crate) use fleet::Fleet;
pub(crate) use hosts::{HostGroup, PEER_KEY_BYTES};
pub(crate) use transcript::SessionTranscript;
pub(crate) use wait::{HANG_GUARD, eventually};
