//! Validated INI settings.
//!
//! A host stores no state, so a process starts from its settings file alone: its
//! name, its listen addresses, and the addresses of the platform and of its peers.
//! An invalid setting that is found only at the first request causes an outage.
//! Every setting is therefore validated before anything starts, and an error names
//! the file, the section and the key.

mod document;
mod error;
mod gateway;
mod load;
mod operator;
mod values;

pub use error::SettingsError;
pub use gateway::{
    DutySettings, GatewayBounds, GatewayHost, GatewayLimits, GatewayListen, GatewaySettings,
    StoreSettings,
};
pub use operator::{AdminHost, OperatorSettings};
pub use values::{
    EntrySettings, HostSettings, LogFormat, LogSettings, PeerKey, PeerSeed, PeerSettings,
    PlanWeighting, PlatformSettings, Settings, StewardSettings, UsageSettings,
};
