//! Checked INI settings.
//!
//! A host keeps nothing, so its settings file is all that a process has to
//! start from: who it is, where it listens, whom it may ask. A wrong setting
//! found at the first request is an outage; every setting is therefore checked
//! before anything starts, and an error names the file, the section and the key.

mod document;
mod error;
mod gateway;
mod load;
mod operator;
mod values;

pub use error::SettingsError;
pub use gateway::{
    DutySettings, GatewayBounds, GatewayHost, GatewayListen, GatewaySettings, StoreSettings,
};
pub use operator::{AdminHost, OperatorSettings};
pub use values::{
    EntrySettings, HostSettings, LogFormat, LogSettings, PeerKey, PeerSeed, PeerSettings,
    PlanWeighting, PlatformSettings, Settings, StewardSettings, UsageSettings,
};
