//! One chat response, assembled from the chunks of one or more attempts and
//! sent to the caller.

use crate::cursor::{CursorStep, TokenCursor};
use crate::response_channel::{CallerDisconnected, ResponseSender};
use bytes::Bytes;
use lagoonlift_callers::{
    ChatChunk, ChatUsage, CompletionBuilder, DONE_EVENT, OutcomeReply, json_event,
};
use lagoonlift_types::{ModelName, RequestId};
use lagoonlift_upstreams::StreamError;
use serde_json::{Map, Value, json};
use tokio_util::sync::CancellationToken;

/// Prefix of a completion's identifier.
const COMPLETION_ID_PREFIX: &str = "chatcmpl-";

/// The properties of a request that shape its response.
#[derive(Clone, Debug)]
pub(crate) struct ResponseSpec {
    pub(crate) request: RequestId,
    pub(crate) model: ModelName,
    pub(crate) wants_stream: bool,
    pub(crate) wants_usage: bool,
    /// Estimated prompt tokens; billed if the engine reports no usage.
    pub(crate) prompt_tokens: u64,
}

/// Why a chunk wasn't processed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChunkError {
    /// The chunk is malformed or inconsistent, so the attempt is abandoned.
    Stream(StreamError),
    /// The response can't be sent, see [`CallerDisconnected`].
    CallerDisconnected,
}

impl From<CallerDisconnected> for ChunkError {
    fn from(_: CallerDisconnected) -> Self {
        Self::CallerDisconnected
    }
}

/// A chat response in progress.
pub(crate) struct ChatResponse {
    spec: ResponseSpec,
    sender: ResponseSender,
    cursor: TokenCursor,
    builder: CompletionBuilder,
    /// Held back until the usage is recorded, because it tells the caller that
    /// the response is complete.
    last_chunk: Option<ChatChunk>,
    engine_usage: Option<ChatUsage>,
    attempts: u32,
}

impl ChatResponse {
    pub(crate) fn new(spec: ResponseSpec, sender: ResponseSender) -> Self {
        Self {
            spec,
            sender,
            cursor: TokenCursor::new(),
            builder: CompletionBuilder::new(),
            last_chunk: None,
            engine_usage: None,
            attempts: 0,
        }
    }

    /// Returns a cancellation token that is cancelled when the caller
    /// disconnects.
    pub(crate) fn disconnect_token(&self) -> CancellationToken {
        self.sender.disconnect_token()
    }

    /// Returns the number of tokens added to the response. A streamed response
    /// sends them to the caller at once; otherwise they are collected, and the
    /// caller gets them when the response is complete.
    pub(crate) fn delivered(&self) -> u64 {
        self.cursor.delivered()
    }

    /// Starts another attempt, which resumes after the tokens already added to
    /// the response.
    pub(crate) fn start_attempt(&mut self) {
        self.attempts += 1;
        self.cursor.start_attempt();
        self.last_chunk = None;
    }

    /// Processes one chunk; returns whether it added a token to the response.
    pub(crate) async fn handle_chunk(&mut self, text: &Bytes) -> Result<bool, ChunkError> {
        let mut chunk: ChatChunk = serde_json::from_slice(text).map_err(malformed_chunk)?;
        if !self.belongs_to_request(&chunk) {
            return Err(malformed_chunk("the chunk belongs to another request"));
        }
        chunk.id = self.id();
        if let Some(usage) = chunk.usage.take() {
            self.engine_usage = Some(usage);
        }
        match ChunkKind::of(&chunk) {
            ChunkKind::Token => match self.cursor.accept(chunk.token_index) {
                CursorStep::Deliver => {
                    self.deliver(chunk).await?;
                    return Ok(true);
                }
                CursorStep::Drop => {}
                CursorStep::Gap => return Err(malformed_chunk("the chunk skips tokens")),
            },
            ChunkKind::Opening if self.attempts == 1 => self.deliver(chunk).await?,
            ChunkKind::Finish => self.last_chunk = Some(chunk),
            ChunkKind::Opening | ChunkKind::Empty => {}
        }
        Ok(false)
    }

    /// Returns the usage of the response so far.
    pub(crate) fn usage(&self) -> ChatUsage {
        let engine_prompt_tokens = self.engine_usage.as_ref().map(|usage| usage.prompt_tokens);
        let prompt_tokens = engine_prompt_tokens.unwrap_or(self.spec.prompt_tokens);
        ChatUsage::new(prompt_tokens, self.cursor.delivered())
    }

    /// Sends the end of a complete response.
    pub(crate) async fn finish(&mut self, usage: ChatUsage) -> Result<(), CallerDisconnected> {
        match self.spec.wants_stream {
            true => self.finish_stream(usage).await,
            false => self.finish_json(usage).await,
        }
    }

    /// Ends a response that can't be completed.
    pub(crate) async fn fail(self, reply: OutcomeReply) {
        self.sender.fail(reply).await;
    }

    /// Sends a chunk to the caller, or collects it if the response isn't
    /// streamed.
    async fn deliver(&mut self, chunk: ChatChunk) -> Result<(), CallerDisconnected> {
        match self.spec.wants_stream {
            false => {
                self.builder.push(chunk);
                Ok(())
            }
            true => {
                self.sender.start_event_stream();
                self.send_event(&chunk).await
            }
        }
    }

    async fn send_event(&mut self, chunk: &ChatChunk) -> Result<(), CallerDisconnected> {
        // Serialization can't fail: the chunk was parsed from JSON.
        let event = json_event(chunk).map_err(|_| CallerDisconnected)?;
        self.sender.send(event).await
    }

    async fn finish_stream(&mut self, usage: ChatUsage) -> Result<(), CallerDisconnected> {
        self.sender.start_event_stream();
        if let Some(chunk) = self.last_chunk.take() {
            self.send_event(&chunk).await?;
        }
        if self.spec.wants_usage {
            let chunk = ChatChunk {
                id: self.id(),
                choices: Vec::new(),
                usage: Some(usage),
                token_index: None,
                extra: self.usage_chunk_fields(),
            };
            self.send_event(&chunk).await?;
        }
        self.sender.send(DONE_EVENT).await
    }

    async fn finish_json(&mut self, usage: ChatUsage) -> Result<(), CallerDisconnected> {
        if let Some(chunk) = self.last_chunk.take() {
            self.builder.push(chunk);
        }
        let builder = std::mem::take(&mut self.builder);
        let response = builder.finish(self.id(), usage);
        // Serialization can't fail: the response's chunks were parsed from
        // JSON.
        let text = serde_json::to_vec(&response).map_err(|_| CallerDisconnected)?;
        self.sender.start_json();
        self.sender.send(text.into()).await
    }

    /// Returns the completion identifier that every chunk to the caller
    /// carries.
    fn id(&self) -> String {
        format!("{COMPLETION_ID_PREFIX}{}", self.spec.request)
    }

    /// Returns whether the chunk belongs to this request. Engines derive a
    /// completion's identifier from the request's, so a chunk with another
    /// request's identifier was misrouted.
    fn belongs_to_request(&self, chunk: &ChatChunk) -> bool {
        let chunk_request = chunk.id.strip_prefix(COMPLETION_ID_PREFIX);
        let chunk_request = chunk_request.and_then(|name| name.parse::<RequestId>().ok());
        chunk_request.is_none_or(|request| request == self.spec.request)
    }

    /// Returns the additional fields that the protocol requires in a chunk that
    /// carries only usage.
    fn usage_chunk_fields(&self) -> Map<String, Value> {
        let mut fields = Map::new();
        // The generated type omits an empty list, but clients expect one.
        fields.insert("choices".to_owned(), json!([]));
        fields.insert("object".to_owned(), json!("chat.completion.chunk"));
        fields.insert("model".to_owned(), json!(self.spec.model.as_str()));
        fields
    }
}

/// The role of a chunk within a response.
enum ChunkKind {
    /// Carries a token.
    Token,
    /// Precedes the first token.
    Opening,
    /// Carries the reason why the response ended.
    Finish,
    /// Carries no choice.
    Empty,
}

impl ChunkKind {
    fn of(chunk: &ChatChunk) -> Self {
        let Some(choice) = chunk.choices.first() else {
            return Self::Empty;
        };
        let content = choice
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_ref());
        let has_content = content.is_some_and(|text| !text.is_empty());
        match chunk.token_index {
            Some(_) => Self::Token,
            None if has_content => Self::Token,
            None if choice.finish_reason.is_some() => Self::Finish,
            None => Self::Opening,
        }
    }
}

fn malformed_chunk(detail: impl ToString) -> ChunkError {
    ChunkError::Stream(StreamError::Malformed(detail.to_string()))
}
