//! Entry process for deployments that keep their configuration and upstream
//! list in a shared store.
//!
//! Every host runs one gateway, and all gateways are equal. A gateway has no
//! durable state of its own, so hosts can be added or can fail at any time.
//! Durable state is in the store: the configuration, the list of upstreams, the
//! lease for the duties, and the counts from which usage reports are built. One
//! process does both request handling and the duties: the duties cost little,
//! and a second process on the same small machine would double the fixed cost.
//!
//! A request passes through the modules `admit` (route, workspace, body), `run`
//! (choice of upstreams, retries), `send` (one attempt at one upstream) and, for
//! streams, `relay`. The decisions are made in `lagoonlift_policy::dispatch`;
//! the platform's names and formats are defined in `lagoonlift_adapter`.

mod admit;
mod announcements;
mod body;
mod clock;
mod connection;
mod crash_monitor;
mod duty;
mod era_monitor;
mod events;
mod exchange;
mod final_publication;
mod gateway;
mod handler;
mod held;
mod hop;
mod host_paths;
mod idle;
mod in_flight;
mod interim;
mod kv_cache;
mod lingering;
mod metrics;
mod peers;
mod quarantine_store;
mod quota;
mod read_on;
mod relay;
mod reload;
mod reply;
mod request_progress;
mod resumption;
mod run;
mod send;
mod server;
mod socket_options;
mod state;
mod store;
mod store_gate;
mod stream_store;
mod trace;
mod upstream_health;
mod version_store;
mod watcher;

pub use gateway::Gateway;
