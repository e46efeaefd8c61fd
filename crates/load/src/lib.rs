//! An open-loop load generator over HTTP, with latency histograms and processor time.
//!
//! A closed-loop generator waits for slow responses before it sends the next request,
//! and so hides them (coordinated omission). This generator sends requests at times
//! drawn in advance from the seed, regardless of the responses, and the number of
//! requests and the duration are bounded. The results are written as JSON and as a
//! table.

mod exchange;
mod generator;
mod plan;
mod processor_time;
mod result;

pub use generator::run_load;
pub use plan::{LoadPlan, LoadTarget};
pub use processor_time::{ProcessorTimeError, ThreadGroup};
pub use result::{LatencySummary, LoadResult};
