//! Lets the fleet policy plan roles, models and purchases.
//!
//! The policy decides without I/O; the planner tells it what the data centre's
//! engines are and report, and writes what it wants as requests, the same kind
//! that operators write. A planned change thus takes the same path as any other:
//! recorded before it is sent, drained first, one at a time for an engine. A
//! planner that is replaced in the middle loses nothing but its forecast.
//!
//! Only the holder of the lease plans, and only where the settings say what the
//! deployment weighs most.

mod index;
mod loads;
mod requests;

mod runner;

pub(crate) use runner::{Planner, PlannerContext};
