//! HTTP routes for operators on a daemon's admin address.
//!
//! `GET /status` returns the process's [`ProcessStatus`], which includes the
//! revision of its configuration. `GET /explain/SUBJECT` returns the recorded
//! decisions about a request, an upstream or a workspace.

use crate::{DecisionLog, ExplainQuery};
use lagoonlift_types::{DataCentreName, Epoch, Incarnation, ProcessId, Revision};
use serde::{Deserialize, Serialize};
use warp::filters::BoxedFilter;
use warp::reply::{Reply, Response};
use warp::{Filter, reply};

/// The status that a process reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The process.
    pub process: ProcessId,
    /// Its incarnation: the number of this process start.
    pub incarnation: Incarnation,
    /// The data centre of its host.
    pub data_centre: DataCentreName,
    /// Revision of the configuration that it uses.
    pub revision: Revision,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Epoch of the lease that it holds; `None` if it is not the lease holder.
    pub epoch: Option<Epoch>,
}

/// Returns the filter for `GET /status` and `GET /explain/SUBJECT`.
///
/// `status` is called for each request of `GET /status` and must not block.
pub fn operator_routes(
    log: DecisionLog,
    status: impl Fn() -> ProcessStatus + Clone + Send + Sync + 'static,
) -> BoxedFilter<(Response,)> {
    let status = warp::path!("status")
        .and(warp::get())
        .map(move || reply::json(&status()).into_response());
    let explain = warp::path!("explain" / ExplainQuery)
        .and(warp::get())
        .map(move |query| reply::json(&log.explain(&query)).into_response());
    status.or(explain).unify().boxed()
}
