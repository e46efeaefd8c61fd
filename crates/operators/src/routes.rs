//! What a daemon serves to operators on its admin address.
//!
//! `GET /status` says which revision is in force here, `GET /explain/SUBJECT`
//! what was decided about a request, an upstream or a workspace.

use crate::{DecisionLog, ExplainQuery};
use lagoonlift_types::{DataCentreName, Epoch, Incarnation, ProcessId, Revision};
use serde::{Deserialize, Serialize};
use warp::filters::BoxedFilter;
use warp::reply::{Reply, Response};
use warp::{Filter, reply};

/// What a process says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The process.
    pub process: ProcessId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Revision of the configuration that it goes by.
    pub revision: Revision,
    /// Whether it takes new work.
    pub ready: bool,
    /// Epoch of the lease that it holds; `None` if it holds none.
    pub epoch: Option<Epoch>,
}

/// Returns the filter for `GET /status` and `GET /explain/SUBJECT`.
///
/// `status` is called for each request and must not block.
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
