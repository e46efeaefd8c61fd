//! Execution of one completion request: prefill, tokens and the injected fault.

use super::cancellation::CancelSignal;
use super::execution::{Execution, ExecutionEnd, ExecutionIndex};
use super::faults::EngineFault;
use super::server::EngineShared;
use super::tokens::{completion_token, prompt_tokens};
use bytes::Bytes;
use serde_json::{Value, json};
use std::future;
use std::panic;
use std::sync::atomic::Ordering;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_stream::wrappers::ReceiverStream;
use warp::http::{HeaderMap, StatusCode, header};
use warp::reply::{self, Reply, Response};

/// Number of tokens generated when the request sets no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 16;
/// Number of events buffered for a client that reads slowly.
const EVENT_BUFFER: usize = 16;
/// Value of `retry-after` when the engine is busy, in seconds.
const BUSY_RETRY_SECONDS: &str = "1";

/// Prefill and decode speed of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineSpeed {
    /// Time to prefill one piece of a prompt.
    pub(crate) prefill_per_piece: Duration,
    /// Time to generate one token.
    pub(crate) token_interval: Duration,
}

/// Error that ends a connection because of an injected fault.
#[derive(Clone, Copy, Debug, Error)]
#[error("the engine crashed")]
pub(crate) struct EngineCrashed;

/// One completion request and its execution, up to the last event.
pub(crate) struct CompletionRun {
    shared: EngineShared,
    fault: EngineFault,
    speed: EngineSpeed,
    prompt: String,
    model: String,
    request: String,
    attempt: u32,
    /// Index of the first token to generate.
    first_token: u64,
    /// Index after the last token to generate.
    end_token: u64,
    is_streaming: bool,
    header_names: Vec<String>,
    had_key: bool,
}

impl CompletionRun {
    pub(crate) fn new(
        shared: EngineShared,
        headers: &HeaderMap,
        body: &Value,
        speed: EngineSpeed,
    ) -> Self {
        let header_text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let limit = body["max_completion_tokens"]
            .as_u64()
            .or(body["max_tokens"].as_u64());
        Self {
            fault: shared.faults.take(),
            shared,
            speed,
            prompt: prompt_text(body),
            model: body["model"].as_str().unwrap_or_default().to_owned(),
            request: header_text("x-request-id").unwrap_or_default().to_owned(),
            attempt: header_text("x-attempt")
                .and_then(|n| n.parse().ok())
                .unwrap_or(0),
            first_token: body["resume_from"].as_u64().unwrap_or(0),
            end_token: limit.unwrap_or(DEFAULT_OUTPUT_TOKENS),
            is_streaming: body["stream"].as_bool().unwrap_or(false),
            header_names: headers.keys().map(ToString::to_string).collect(),
            had_key: headers.contains_key(header::AUTHORIZATION),
        }
    }

    pub(crate) async fn respond(self) -> Response {
        let active = self.shared.active.fetch_add(1, Ordering::Relaxed);
        let is_full = active >= self.shared.config.max_streams;
        let index = self.shared.log.begin(self.execution());
        let cancel = self.shared.cancels.register(&self.request);
        let slot = StreamSlot {
            shared: self.shared.clone(),
            index,
        };
        match &self.fault {
            EngineFault::Busy => slot.refuse(),
            EngineFault::BusyAfter(delay) => {
                sleep(*delay).await;
                slot.refuse()
            }
            _ if is_full => slot.refuse(),
            EngineFault::CrashBeforeHeaders => {
                slot.finish(ExecutionEnd::Crashed);
                abort_connection()
            }
            EngineFault::SilentBeforeHeaders => future::pending().await,
            EngineFault::ServerError => {
                slot.finish(ExecutionEnd::Crashed);
                StatusCode::INTERNAL_SERVER_ERROR.into_response()
            }
            _ if self.is_streaming => self.respond_streaming(slot, cancel),
            _ => self.respond_non_streaming(slot, cancel).await,
        }
    }

    fn execution(&self) -> Execution {
        Execution {
            request: self.request.clone(),
            attempt: self.attempt,
            first_token: self.first_token,
            tokens: 0,
            end: ExecutionEnd::Running,
            headers: self.header_names.clone(),
            had_key: self.had_key,
        }
    }

    fn respond_streaming(self, slot: StreamSlot, mut cancel: CancelSignal) -> Response {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        tokio::spawn(async move {
            tokio::select! {
                // The branches are polled in this order, so that a request whose
                // caller has disconnected is logged as cancelled.
                biased;
                () = sender.closed() => slot.finish(ExecutionEnd::Cancelled),
                () = cancel.cancelled() => slot.finish(ExecutionEnd::Cancelled),
                () = self.send_events(&sender, &slot) => {}
            }
        });
        let mut response = reply::stream(ReceiverStream::new(receiver)).into_response();
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("text/event-stream"),
        );
        response
    }

    async fn send_events(&self, sender: &EventSender, slot: &StreamSlot) {
        self.prefill().await;
        for index in self.first_token..self.end_token {
            if self.inject_fault(index, sender, slot).await {
                return;
            }
            self.generate(slot).await;
            let sent = sender.send(Ok(sse_event(&self.token_chunk(index)))).await;
            if sent.is_err() {
                return slot.finish(ExecutionEnd::Cancelled);
            }
        }
        if self.inject_fault(self.end_token, sender, slot).await {
            return;
        }
        // The log is updated before the end marker is sent, so that a test that has
        // received the end marker finds the execution completed in the log.
        slot.finish(ExecutionEnd::Completed);
        for final_event in [
            sse_event(&self.last_chunk()),
            Bytes::from("data: [DONE]\n\n"),
        ] {
            // The error is ignored: a caller that disconnects after the last token
            // has received the whole completion.
            let _ = sender.send(Ok(final_event)).await;
        }
    }

    /// Injects the fault if it is due before token `index`, and returns whether it
    /// ended the stream. A silent fault never returns.
    async fn inject_fault(&self, index: u64, sender: &EventSender, slot: &StreamSlot) -> bool {
        let sent_tokens = index - self.first_token;
        let is_at_end = index == self.end_token;
        match self.fault {
            EngineFault::CrashAfterTokens(tokens) if sent_tokens == tokens => {}
            EngineFault::CrashBeforeEnd if is_at_end => {}
            EngineFault::LoseAnswer if is_at_end => {}
            EngineFault::SilentAfterTokens(tokens) if sent_tokens == tokens => {
                future::pending::<()>().await;
            }
            EngineFault::Pause {
                after_tokens,
                duration,
            } if sent_tokens == after_tokens => {
                sleep(duration).await;
                return false;
            }
            _ => return false,
        }
        slot.finish(ExecutionEnd::Crashed);
        let _ = sender.send(Err(EngineCrashed)).await;
        true
    }

    async fn respond_non_streaming(self, slot: StreamSlot, mut cancel: CancelSignal) -> Response {
        tokio::select! {
            biased;
            () = cancel.cancelled() => {
                slot.finish(ExecutionEnd::Cancelled);
                abort_connection()
            }
            response = self.generate_response(&slot) => response,
        }
    }

    async fn generate_response(&self, slot: &StreamSlot) -> Response {
        self.prefill().await;
        let mut text = String::new();
        for index in self.first_token..self.end_token {
            match self.fault {
                EngineFault::CrashAfterTokens(tokens) if index - self.first_token == tokens => {
                    slot.finish(ExecutionEnd::Crashed);
                    abort_connection()
                }
                EngineFault::SilentAfterTokens(tokens) if index - self.first_token == tokens => {
                    future::pending::<()>().await;
                }
                EngineFault::Pause {
                    after_tokens,
                    duration,
                } if index - self.first_token == after_tokens => sleep(duration).await,
                _ => {}
            }
            self.generate(slot).await;
            text.push_str(&self.token(index));
        }
        match self.fault {
            EngineFault::LoseAnswer | EngineFault::CrashBeforeEnd => {
                slot.finish(ExecutionEnd::Completed);
                abort_connection()
            }
            _ => slot.finish(ExecutionEnd::Completed),
        }
        reply::json(&self.completion_body(&text)).into_response()
    }

    async fn prefill(&self) {
        if let EngineFault::Delay(delay) = self.fault {
            sleep(delay).await;
        }
        let tokens = prompt_tokens(&self.prompt);
        let backlog = &self.shared.backlog_tokens;
        backlog.fetch_add(tokens, Ordering::Relaxed);
        let pieces = tokens as f64 / lagoonlift_types::TOKENS_PER_PIECE as f64;
        sleep_if_nonzero(self.speed.prefill_per_piece.mul_f64(pieces)).await;
        backlog.fetch_sub(tokens, Ordering::Relaxed);
        self.shared.cache.record_cached(&self.prompt);
    }

    async fn generate(&self, slot: &StreamSlot) {
        sleep_if_nonzero(self.speed.token_interval).await;
        self.shared.log.count_token(slot.index);
    }

    fn token(&self, index: u64) -> String {
        match self.fault {
            EngineFault::ForeignTokens => completion_token("another prompt", index),
            _ => completion_token(&self.prompt, index),
        }
    }

    fn token_chunk(&self, index: u64) -> Value {
        let choice = json!({
            "index": 0,
            "delta": { "content": self.token(index) },
            "finish_reason": null,
        });
        let mut chunk = self.envelope("chat.completion.chunk", choice);
        chunk["token_index"] = index.into();
        chunk
    }

    fn last_chunk(&self) -> Value {
        let choice = json!({ "index": 0, "delta": {}, "finish_reason": "length" });
        let mut chunk = self.envelope("chat.completion.chunk", choice);
        chunk["usage"] = self.usage();
        chunk
    }

    fn completion_body(&self, text: &str) -> Value {
        let choice = json!({
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "length",
        });
        let mut completion = self.envelope("chat.completion", choice);
        completion["usage"] = self.usage();
        completion
    }

    fn envelope(&self, object: &str, choice: Value) -> Value {
        json!({
            "id": format!("chatcmpl-{}", self.request),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
    }

    fn usage(&self) -> Value {
        let prompt = prompt_tokens(&self.prompt);
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": self.end_token,
            "total_tokens": prompt + self.end_token,
        })
    }
}

type EventSender = mpsc::Sender<Result<Bytes, EngineCrashed>>;

/// A concurrency slot of the engine, released when dropped.
struct StreamSlot {
    shared: EngineShared,
    index: ExecutionIndex,
}

impl StreamSlot {
    fn finish(&self, end: ExecutionEnd) {
        self.shared.log.finish(self.index, end);
    }

    fn refuse(&self) -> Response {
        self.finish(ExecutionEnd::Refused);
        let status = StatusCode::TOO_MANY_REQUESTS;
        reply::with_header(status, header::RETRY_AFTER, BUSY_RETRY_SECONDS).into_response()
    }
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        self.shared.active.fetch_sub(1, Ordering::Relaxed);
        self.finish(ExecutionEnd::Cancelled);
    }
}

/// Ends the task that serves the connection, which closes the connection without a
/// response. `resume_unwind` doesn't call the panic hook, so nothing is printed.
fn abort_connection() -> ! {
    panic::resume_unwind(Box::new(EngineCrashed))
}

/// Returns the prompt: the texts of all messages of a request.
fn prompt_text(body: &Value) -> String {
    let messages = body["messages"].as_array().map_or(&[][..], Vec::as_slice);
    messages
        .iter()
        .map(|message| message["content"].as_str().unwrap_or_default())
        .collect::<Vec<_>>()
        .join("\n")
}

fn sse_event(chunk: &Value) -> Bytes {
    Bytes::from(format!("data: {chunk}\n\n"))
}

async fn sleep_if_nonzero(duration: Duration) {
    if !duration.is_zero() {
        sleep(duration).await;
    }
}
