//! The HTTP routes for callers.

use crate::chat::{bearer_key, handle_chat};
use crate::context::EntryContext;
use crate::plain::{PlainRequest, handle_plain};
use crate::refusal::{not_found, unauthorized_reply};
use http::{HeaderMap, Method};
use lagoonlift_callers::{ModelCard, ModelList};
use lagoonlift_types::RequestId;
use std::convert::Infallible;
use std::sync::Arc;
use warp::filters::BoxedFilter;
use warp::path::FullPath;
use warp::reply::{self, Reply, Response};
use warp::{Filter, Rejection};

/// Returns the filter that handles all requests of callers.
pub(crate) fn caller_routes(context: Arc<EntryContext>) -> BoxedFilter<(Response,)> {
    let context = warp::any().map(move || Arc::clone(&context));
    let chat = warp::path!("v1" / "chat" / "completions")
        .and(warp::post())
        .and(context.clone())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(handle_chat);
    let models = warp::path!("v1" / "models")
        .and(warp::get())
        .and(context.clone())
        .and(warp::header::headers_cloned())
        .map(handle_models);
    let plain = warp::path!("v1" / "services" / ..)
        .and(context)
        .and(plain_request())
        .and(warp::body::stream())
        .then(handle_plain);
    chat.or(models)
        .unify()
        .or(plain)
        .unify()
        .recover(handle_rejection)
        .unify()
        .boxed()
}

fn plain_request() -> impl Filter<Extract = (PlainRequest,), Error = Infallible> + Clone {
    let query = warp::query::raw()
        .map(Some)
        .or_else(|_| async { Ok::<_, Infallible>((None,)) });
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .map(
            |method: Method, path: FullPath, query: Option<String>, headers: HeaderMap| {
                PlainRequest {
                    method,
                    path: path.as_str().to_owned(),
                    query,
                    headers,
                }
            },
        )
}

fn handle_models(context: Arc<EntryContext>, headers: HeaderMap) -> Response {
    let key = bearer_key(&headers);
    let named_workspace = key.and_then(|key| context.directory.load().workspace_of_key(&key));
    let Some(named_workspace) = named_workspace else {
        return unauthorized_reply().into_response(RequestId::new());
    };
    let models = named_workspace.workspace.models.iter();
    let list = ModelList {
        object: "list".to_owned(),
        data: models
            .map(|model| ModelCard {
                id: model.to_string(),
                object: "model".to_owned(),
                created: 0,
                owned_by: "lagoonlift".to_owned(),
            })
            .collect(),
    };
    reply::json(&list).into_response()
}

async fn handle_rejection(rejection: Rejection) -> Result<Response, Infallible> {
    let message = match rejection.is_not_found() {
        true => "there is no such path",
        false => "the path doesn't permit this method",
    };
    Ok(not_found(message).into_response(RequestId::new()))
}
