//! Simulations that compare the scheduling policies with baselines.
//!
//! How well a policy serves callers when the traffic mix shifts can't be seen
//! from its code. This package runs the production policies on models of
//! engines in virtual time, runs baselines and an upper bound on the same
//! seeded requests, and reports the same measures for all of them.
//!
//! [`run`] executes an [`ExperimentPlan`]. [`render_table`] and
//! [`render_report`] present its result.

mod baselines;
mod contender;
mod deployment;
mod driver;
mod engine_simulation;
mod entry_host;
mod measures;
mod plan;
mod profile;
mod report;
mod round_robin;
mod schedule;
mod series;
mod table;
mod traffic;

pub use contender::Contender;
pub use deployment::Deployment;
pub use measures::{LatencyQuantiles, RunMeasures};
pub use plan::{
    ExperimentError, ExperimentPlan, ExperimentResult, REPORT_SEEDS, RunResult, TUNING_SEEDS, run,
};
pub use profile::Profile;
pub use report::{Plot, render_report};
pub use series::SeriesPoint;
pub use table::{ContenderSummary, Spread, render_table, summarise};
