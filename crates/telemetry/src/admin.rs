//! The pages that every daemon serves on its admin address.

use crate::{Metrics, Readiness};
use warp::filters::BoxedFilter;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};
use warp::{Filter, reply};

/// Returns the filter for `GET /metrics` and `GET /ready`.
///
/// `/ready` answers 200 while the process takes new work and 503 otherwise.
pub fn admin_routes(metrics: Metrics, readiness: Readiness) -> BoxedFilter<(Response,)> {
    let scrape = warp::path!("metrics")
        .and(warp::get())
        .map(move || scrape_reply(&metrics));
    let ready = warp::path!("ready")
        .and(warp::get())
        .map(move || ready_reply(&readiness));
    scrape.or(ready).unify().boxed()
}

fn scrape_reply(metrics: &Metrics) -> Response {
    match metrics.render() {
        Ok(text) => text.into_response(),
        Err(error) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            reply::with_status(error.to_string(), status).into_response()
        }
    }
}

fn ready_reply(readiness: &Readiness) -> Response {
    let (text, status) = match readiness.is_ready() {
        true => ("ready\n", StatusCode::OK),
        false => ("not ready\n", StatusCode::SERVICE_UNAVAILABLE),
    };
    reply::with_status(text, status).into_response()
}
