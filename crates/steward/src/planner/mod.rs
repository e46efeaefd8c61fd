//! Runs the fleet policy, which plans roles, models and purchases.
//!
//! The policy decides without I/O. The planner feeds it the engines of the data
//! centre and their load reports, and writes its decisions as requests of the same
//! kind that operators write. A planned change is therefore handled like any
//! other: it is recorded before it is sent, the engine is drained first, and an
//! engine has one change at a time. If the lease holder is replaced, only the
//! policy's forecast is lost.
//!
//! Only the lease holder plans, and only if the settings define the weighting
//! (`plan-for`, the policy's `FleetWeighting`).

mod index;
mod loads;
mod requests;

mod runner;

pub(crate) use runner::{Planner, PlannerContext};
