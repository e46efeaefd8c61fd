#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "One answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatChoice {
    #[doc = "Why the answer ended."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    pub message: ChatMessage,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "One event of a streamed answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatChunk {
    #[doc = "What is added to the answers; empty in the chunk that tells the usage."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub choices: ::std::vec::Vec<ChunkChoice>,
    #[doc = "Identifies the answer."]
    #[serde(default)]
    pub id: ::std::string::String,
    #[doc = "Engine extension: position of the token in the answer, from 0."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub token_index: ::std::option::Option<u64>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<ChatUsage>,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "A whole answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatCompletion {
    #[doc = "The answers; there is one."]
    pub choices: ::std::vec::Vec<ChatChoice>,
    #[doc = "Identifies the answer."]
    #[serde(default)]
    pub id: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<ChatUsage>,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "One message of a conversation."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatMessage {
    #[doc = "A text, or parts of several kinds."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub content: ::std::option::Option<::serde_json::Value>,
    #[doc = "Who speaks."]
    pub role: ::std::string::String,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "A call of the chat-completions protocol. Fields that are not listed are handed to the engine as they are."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatRequest {
    #[doc = "Newer name of `max_tokens`."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_completion_tokens: ::std::option::Option<u64>,
    #[doc = "Most tokens that the answer may have."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u64>,
    #[doc = "The conversation so far."]
    pub messages: ::std::vec::Vec<ChatMessage>,
    #[doc = "The model that is to answer."]
    pub model: ::std::string::String,
    #[doc = "Engine extension: tokens of the answer that were already delivered."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub resume_from: ::std::option::Option<u64>,
    #[doc = "Whether the answer is sent token by token."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stream: ::std::option::Option<bool>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stream_options: ::std::option::Option<StreamOptions>,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "What an answer used."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatUsage {
    #[doc = "Tokens generated."]
    #[serde(default)]
    pub completion_tokens: u64,
    #[doc = "Tokens read."]
    #[serde(default)]
    pub prompt_tokens: u64,
    #[doc = "Both together."]
    #[serde(default)]
    pub total_tokens: u64,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "What a chunk adds to one answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChunkChoice {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub delta: ::std::option::Option<ChunkDelta>,
    #[doc = "Why the answer ended."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "The added part of a message."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChunkDelta {
    #[doc = "The added text."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub content: ::std::option::Option<::std::string::String>,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "What a caller gets in place of an answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ErrorBody {
    pub error: ErrorDetail,
}
#[doc = "What went wrong."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ErrorDetail {
    #[doc = "The error, for programs."]
    pub code: ::std::string::String,
    #[doc = "For people."]
    pub message: ::std::string::String,
    #[doc = "The family of the error."]
    #[serde(rename = "type")]
    pub type_: ::std::string::String,
}
#[doc = "One model."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ModelCard {
    #[doc = "Seconds since the Unix epoch; 0 when unknown."]
    pub created: u64,
    #[doc = "Its name."]
    pub id: ::std::string::String,
    #[doc = "Always `model`."]
    pub object: ::std::string::String,
    #[doc = "Who runs it."]
    pub owned_by: ::std::string::String,
}
#[doc = "The models that a workspace may use."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ModelList {
    #[doc = "The models."]
    pub data: ::std::vec::Vec<ModelCard>,
    #[doc = "Always `list`."]
    pub object: ::std::string::String,
}
#[doc = "Options of a streamed answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct StreamOptions {
    #[doc = "Whether a last chunk tells the usage."]
    #[serde(default)]
    pub include_usage: bool,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
