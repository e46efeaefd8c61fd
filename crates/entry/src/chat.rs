//! Chat-completion requests: validates a request and prepares the job for the
//! relay.

use crate::admission::PlacementRequest;
use crate::body::read_body;
use crate::chat_response::ResponseSpec;
use crate::claim::ContentDigest;
use crate::claim_guard::{ClaimGuard, ClaimRequest, idempotency_key};
use crate::context::EntryContext;
use crate::directory::NamedWorkspace;
use crate::instruments::RequestLabels;
use crate::limit_table::ChargeGuard;
use crate::refusal::{bad_request, body_reply, not_found, unauthorized_reply};
use crate::relay::ChatRelay;
use crate::response_channel::response_channel;
use bytes::{Buf, Bytes};
use futures::Stream;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use lagoonlift_callers::{
    CLASS_HEADER, ChatRequest, OutcomeReply, StreamOptions, estimate_prompt_tokens,
    max_output_tokens, parse_chat_request, wants_stream, wants_usage,
};
use lagoonlift_policy::{PrefixHash, Target};
use lagoonlift_types::{Class, ClassName, KeyDigest, ModelName, RequestId};
use serde_json::{Map, Value, json};
use std::sync::Arc;
use tokio::time::Instant;
use warp::reply::Response;

/// Class of requests without a class header.
pub(crate) const DEFAULT_CLASS: &str = "default";

/// Number of prompt bytes that the prefix hash covers. Engines use the same
/// number.
const PREFIX_HASH_BYTES: usize = 1024;

/// An accepted chat-completion request.
pub(crate) struct ChatJob {
    pub(crate) placement_request: PlacementRequest,
    pub(crate) spec: ResponseSpec,
    pub(crate) class: ClassName,
    pub(crate) key: KeyDigest,
    pub(crate) labels: RequestLabels,
    pub(crate) arrived: Instant,
    /// Refunded on drop if nothing ran.
    pub(crate) charge: Option<ChargeGuard>,
    /// Present on non-idempotent requests with an `Idempotency-Key`.
    pub(crate) claim: Option<ClaimGuard>,
    body: Bytes,
}

impl ChatJob {
    /// Returns the request body for an engine that resumes after `delivered`
    /// tokens.
    pub(crate) fn engine_body(&self, delivered: u64) -> Bytes {
        if delivered == 0 {
            return self.body.clone();
        }
        // `serialize_for_engine` wrote this text, so it is a JSON object.
        let mut body: Map<String, Value> = serde_json::from_slice(&self.body).unwrap_or_default();
        body.insert("resume_from".to_owned(), json!(delivered));
        serde_json::to_vec(&body).unwrap_or_default().into()
    }
}

/// Handles `POST /v1/chat/completions`.
pub(crate) async fn handle_chat<B: Buf>(
    context: Arc<EntryContext>,
    headers: HeaderMap,
    chunks: impl Stream<Item = Result<B, warp::Error>>,
) -> Response {
    let arrived = Instant::now();
    let request = RequestId::new();
    match prepare_chat(&context, request, arrived, &headers, chunks).await {
        Ok(job) => {
            let (sender, receiver) = response_channel(request, context.tuning.caller_stall_timeout);
            tokio::spawn(ChatRelay::new(context, job, sender).run());
            receiver.respond().await
        }
        Err(reply) => {
            context.count_refusal(reply.outcome.kind(), arrived);
            reply.into_response(request)
        }
    }
}

async fn prepare_chat<B: Buf>(
    context: &EntryContext,
    request: RequestId,
    arrived: Instant,
    headers: &HeaderMap,
    chunks: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<ChatJob, OutcomeReply> {
    // The key is checked before the body is read, so that callers without a
    // valid key can't make the process buffer their bodies.
    let key = bearer_key(headers).ok_or_else(unauthorized_reply)?;
    let named_workspace = context.directory.load().workspace_of_key(&key);
    let named_workspace = named_workspace.ok_or_else(unauthorized_reply)?;
    let (class_name, class) = request_class(headers, &named_workspace)?;
    let body = read_body(chunks, context.body_limits)
        .await
        .map_err(body_reply)?;
    let chat_request = parse_chat_request(&body).map_err(|error| bad_request(error.to_string()))?;
    let model = permitted_model(&chat_request, &named_workspace)?;
    let (prompt_tokens, max_output_tokens) = (
        estimate_prompt_tokens(&chat_request),
        max_output_tokens(&chat_request),
    );
    let charge = context.charge(&named_workspace.name, prompt_tokens, max_output_tokens)?;
    let claim = match idempotency_key(headers)? {
        Some(idempotency_key) if !class.idempotent => {
            let claim_request = ClaimRequest {
                workspace: named_workspace.name.clone(),
                idempotency_key,
                content: ContentDigest::of(&[class_name.as_str().as_bytes(), &body]),
            };
            Some(context.claim(claim_request, request).await?)
        }
        _ => None,
    };
    drop(body);
    let spec = ResponseSpec {
        request,
        model: model.clone(),
        wants_stream: wants_stream(&chat_request),
        wants_usage: wants_usage(&chat_request),
        prompt_tokens,
    };
    let placement_request = PlacementRequest {
        request,
        ticket: request,
        workspace: named_workspace.name.clone(),
        urgency: class.urgency,
        target: Target::Model(model),
        prompt_tokens,
        max_output_tokens,
        deadline: arrived + class.deadline,
        idempotent: class.idempotent,
        prefix: prompt_prefix(&chat_request),
    };
    Ok(ChatJob {
        placement_request,
        labels: RequestLabels::new(&named_workspace.name, &class_name),
        spec,
        class: class_name,
        key,
        arrived,
        charge: Some(charge),
        claim,
        body: serialize_for_engine(chat_request)?,
    })
}

/// Serializes the request for engines, which always stream and always report
/// usage.
fn serialize_for_engine(mut chat_request: ChatRequest) -> Result<Bytes, OutcomeReply> {
    chat_request.stream = Some(true);
    let options = chat_request.stream_options.take();
    chat_request.stream_options = Some(StreamOptions {
        include_usage: true,
        extra: options.map(|options| options.extra).unwrap_or_default(),
    });
    let text = serde_json::to_vec(&chat_request).map_err(|error| bad_request(error.to_string()))?;
    Ok(text.into())
}

/// Returns the digest of the caller's bearer key. The key itself isn't passed
/// on.
pub(crate) fn bearer_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    let is_bearer = scheme.eq_ignore_ascii_case("bearer");
    is_bearer.then(|| KeyDigest::of(key.trim()))
}

pub(crate) fn request_class(
    headers: &HeaderMap,
    named_workspace: &NamedWorkspace,
) -> Result<(ClassName, Class), OutcomeReply> {
    let unknown = || bad_request("the class is unknown to the workspace");
    let text = match headers.get(CLASS_HEADER) {
        Some(value) => value.to_str().map_err(|_| unknown())?,
        None => DEFAULT_CLASS,
    };
    let name = ClassName::new(text).map_err(|_| unknown())?;
    let class = named_workspace
        .workspace
        .classes
        .get(&name)
        .ok_or_else(unknown)?;
    let class = class.clone();
    Ok((name, class))
}

fn permitted_model(
    chat_request: &ChatRequest,
    named_workspace: &NamedWorkspace,
) -> Result<ModelName, OutcomeReply> {
    let model = ModelName::new(&chat_request.model).ok();
    let permitted = model.filter(|model| named_workspace.workspace.models.contains(model));
    permitted.ok_or_else(|| not_found("there is no such model for this workspace"))
}

fn prompt_prefix(chat_request: &ChatRequest) -> Option<PrefixHash> {
    let contents = chat_request.messages.iter().map(|message| &message.content);
    let texts: Vec<&str> = contents
        .map(|content| content.as_ref().and_then(Value::as_str).unwrap_or_default())
        .collect();
    let prompt = texts.join("\n");
    let prefix_bytes = prompt.as_bytes().get(..PREFIX_HASH_BYTES)?;
    let digest = blake3::hash(prefix_bytes);
    let hash = digest.as_bytes().first_chunk().copied()?;
    Some(PrefixHash(u64::from_be_bytes(hash)))
}
