//! Open-loop load over HTTP, with histograms and processor time.
//!
//! A closed loop waits for slow answers and so hides them. This generator sends
//! requests at times drawn beforehand from the seed, whatever has been answered,
//! and is bounded in count and time. What it measures is written as JSON and as
//! a table.

mod exchange;
mod generator;
mod plan;
mod processor_time;
mod result;

pub use generator::run_load;
pub use plan::{LoadPlan, LoadTarget};
pub use processor_time::{ProcessorTimeError, ThreadGroup};
pub use result::{LatencySummary, LoadResult};
