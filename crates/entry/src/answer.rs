//! One answer of a model, from the chunks of one or more attempts to the
//! caller.

use crate::cursor::{CursorStep, TokenCursor};
use crate::delivery::{AnswerSender, CallerLeft};
use bytes::Bytes;
use lagoonlift_callers::{
    AnswerBuilder, ChatChunk, ChatUsage, DONE_EVENT, OutcomeReply, json_event,
};
use lagoonlift_types::{ModelName, RequestId};
use lagoonlift_upstreams::StreamError;
use serde_json::{Map, Value, json};
use tokio_util::sync::CancellationToken;

/// Beginning of an answer's identifier.
const ANSWER_PREFIX: &str = "chatcmpl-";

/// What the caller asked for.
#[derive(Clone, Debug)]
pub(crate) struct AnswerShape {
    pub(crate) request: RequestId,
    pub(crate) model: ModelName,
    pub(crate) wants_stream: bool,
    pub(crate) wants_usage: bool,
    /// Billed if the engine doesn't say how many tokens it read.
    pub(crate) prompt_tokens: u64,
}

/// Why a chunk wasn't taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChunkFailure {
    /// The attempt can't be trusted.
    Stream(StreamError),
    /// The caller left.
    CallerLeft,
}

impl From<CallerLeft> for ChunkFailure {
    fn from(_: CallerLeft) -> Self {
        Self::CallerLeft
    }
}

/// One answer on its way to the caller.
pub(crate) struct ChatAnswer {
    shape: AnswerShape,
    sender: AnswerSender,
    cursor: TokenCursor,
    builder: AnswerBuilder,
    /// Held until the usage is recorded: it says that the answer is whole.
    last_chunk: Option<ChatChunk>,
    engine_usage: Option<ChatUsage>,
    attempts: u32,
}

impl ChatAnswer {
    pub(crate) fn new(shape: AnswerShape, sender: AnswerSender) -> Self {
        Self {
            shape,
            sender,
            cursor: TokenCursor::new(),
            builder: AnswerBuilder::new(),
            last_chunk: None,
            engine_usage: None,
            attempts: 0,
        }
    }

    /// Returns a token that is cancelled when the caller has left.
    pub(crate) fn caller(&self) -> CancellationToken {
        self.sender.caller()
    }

    /// Returns the number of tokens delivered.
    pub(crate) fn delivered(&self) -> u64 {
        self.cursor.delivered()
    }

    /// Starts another attempt, which goes on after the tokens delivered.
    pub(crate) fn begin_attempt(&mut self) {
        self.attempts += 1;
        self.cursor.begin_attempt();
        self.last_chunk = None;
    }

    /// Takes a chunk in; returns whether a token was delivered.
    pub(crate) async fn take_chunk(&mut self, text: &Bytes) -> Result<bool, ChunkFailure> {
        let mut chunk: ChatChunk = serde_json::from_slice(text).map_err(malformed)?;
        if !self.owns(&chunk) {
            return Err(malformed("a chunk of another request"));
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
                CursorStep::Gap => return Err(malformed("tokens are missing")),
            },
            ChunkKind::Opening if self.attempts == 1 => self.deliver(chunk).await?,
            ChunkKind::Last => self.last_chunk = Some(chunk),
            ChunkKind::Opening | ChunkKind::Empty => {}
        }
        Ok(false)
    }

    /// Returns what the answer has used so far.
    pub(crate) fn usage(&self) -> ChatUsage {
        let read = self.engine_usage.as_ref().map(|usage| usage.prompt_tokens);
        let prompt_tokens = read.unwrap_or(self.shape.prompt_tokens);
        ChatUsage::new(prompt_tokens, self.cursor.delivered())
    }

    /// Sends what ends a whole answer.
    pub(crate) async fn finish(&mut self, usage: ChatUsage) -> Result<(), CallerLeft> {
        match self.shape.wants_stream {
            true => self.finish_stream(usage).await,
            false => self.finish_whole(usage).await,
        }
    }

    /// Ends an answer that can't be finished.
    pub(crate) async fn fail(self, reply: OutcomeReply) {
        self.sender.fail(reply).await;
    }

    async fn deliver(&mut self, chunk: ChatChunk) -> Result<(), CallerLeft> {
        match self.shape.wants_stream {
            false => {
                self.builder.push(chunk);
                Ok(())
            }
            true => {
                self.sender.begin_events();
                self.send_event(&chunk).await
            }
        }
    }

    async fn send_event(&mut self, chunk: &ChatChunk) -> Result<(), CallerLeft> {
        // Text that was parsed from JSON can be written as JSON.
        let event = json_event(chunk).map_err(|_| CallerLeft)?;
        self.sender.send(event).await
    }

    async fn finish_stream(&mut self, usage: ChatUsage) -> Result<(), CallerLeft> {
        self.sender.begin_events();
        if let Some(chunk) = self.last_chunk.take() {
            self.send_event(&chunk).await?;
        }
        if self.shape.wants_usage {
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

    async fn finish_whole(&mut self, usage: ChatUsage) -> Result<(), CallerLeft> {
        if let Some(chunk) = self.last_chunk.take() {
            self.builder.push(chunk);
        }
        let builder = std::mem::take(&mut self.builder);
        let answer = builder.finish(self.id(), usage);
        // Text that was parsed from JSON can be written as JSON.
        let text = serde_json::to_vec(&answer).map_err(|_| CallerLeft)?;
        self.sender.begin_json();
        self.sender.send(text.into()).await
    }

    /// Returns the identifier that the caller sees in every chunk.
    fn id(&self) -> String {
        format!("{ANSWER_PREFIX}{}", self.shape.request)
    }

    /// Engines name an answer after its request; a chunk named after another
    /// request has strayed.
    fn owns(&self, chunk: &ChatChunk) -> bool {
        let named = chunk.id.strip_prefix(ANSWER_PREFIX);
        let named = named.and_then(|name| name.parse::<RequestId>().ok());
        named.is_none_or(|request| request == self.shape.request)
    }

    /// Returns the fields that the protocol wants in a chunk of usage alone.
    fn usage_chunk_fields(&self) -> Map<String, Value> {
        let mut fields = Map::new();
        // The generated type leaves an empty list out; clients count on it.
        fields.insert("choices".to_owned(), json!([]));
        fields.insert("object".to_owned(), json!("chat.completion.chunk"));
        fields.insert("model".to_owned(), json!(self.shape.model.as_str()));
        fields
    }
}

/// What a chunk is for.
enum ChunkKind {
    /// Carries a token.
    Token,
    /// Comes before the first token.
    Opening,
    /// Says why the answer ended.
    Last,
    /// Says nothing about the answer.
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
            None if choice.finish_reason.is_some() => Self::Last,
            None => Self::Opening,
        }
    }
}

fn malformed(detail: impl ToString) -> ChunkFailure {
    ChunkFailure::Stream(StreamError::Malformed(detail.to_string()))
}
