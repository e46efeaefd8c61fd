//! Experiments: seeded traffic on virtual time, baselines, and reports.
//!
//! A decision is worth what it does to callers when the mix shifts, and that
//! can't be read off its code. The package runs the real policies on models of
//! engines, against baselines and an upper bound on the same requests, and
//! reports the same figures for all of them.
//!
//! [`run`] an [`ExperimentPlan`], then [`render_table`] and [`render_report`].

mod baselines;
mod contender;
mod deployment;
mod driver;
mod engine_slot;
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
