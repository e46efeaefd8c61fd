//! HTTP endpoints that every daemon serves on its admin address.

use crate::{Metrics, Readiness};
use warp::filters::BoxedFilter;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};
use warp::{Filter, reply};

/// Returns the filter for `GET /metrics` and `GET /ready`.
///
/// `/metrics` returns all metrics in the Prometheus text format. `/ready` returns
/// 200 while the process accepts new work and 503 otherwise.
pub fn admin_routes(metrics: Metrics, readiness: Readiness) -> BoxedFilter<(Response,)> {
    let metrics_route = warp::path!("metrics")
        .and(warp::get())
        .map(move || metrics_response(&metrics));
    let ready_route = warp::path!("ready")
        .and(warp::get())
        .map(move || readiness_response(&readiness));
    metrics_route.or(ready_route).unify().boxed()
}

fn metrics_response(metrics: &Metrics) -> Response {
    match metrics.render() {
        Ok(text) => text.into_response(),
        Err(error) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            reply::with_status(error.to_string(), status).into_response()
        }
    }
}

fn readiness_response(readiness: &Readiness) -> Response {
    let (text, status) = match readiness.is_ready() {
        true => ("ready\n", StatusCode::OK),
        false => ("not ready\n", StatusCode::SERVICE_UNAVAILABLE),
    };
    reply::with_status(text, status).into_response()
}
