//! An entry process for hosts whose configuration, fleet and duties lie in a
//! shared store.
//!
//! Every host runs one, and none is special: a host keeps nothing, so any of
//! them may vanish or appear at any moment. What has to last lies in the store:
//! the configuration, the list of upstreams, the lease of the duties, and the
//! counts that usage reports are made of. One process does it all, since a
//! second one on the same small machine would only double its fixed cost, and
//! the duties take little.
//!
//! A request goes through the modules `admit` (route, workspace, body), `run`
//! (choice of upstreams, repeats), `send` (one upstream) and, for streams, `relay`. Decisions lie in
//! `lagoonlift_policy::dispatch`, names and formats of the platform in
//! `lagoonlift_adapter`.

mod admit;
mod clock;
mod connection;
mod duty;
mod events;
mod gateway;
mod handler;
mod host;
mod kv_cache;
mod metrics;
mod peers;
mod relay;
mod reload;
mod reply;
mod run;
mod send;
mod server;
mod store;
mod trace;
mod watcher;

pub use gateway::Gateway;
