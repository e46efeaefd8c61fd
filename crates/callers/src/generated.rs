#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "One choice of a response."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatChoice {
    #[doc = "Why the generation ended."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    pub message: ChatMessage,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "One event of a streamed response."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatChunk {
    #[doc = "Additions to the choices; empty in the chunk that contains the usage."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub choices: ::std::vec::Vec<ChunkChoice>,
    #[doc = "Identifier of the response."]
    #[serde(default)]
    pub id: ::std::string::String,
    #[doc = "Engine extension: index of the token in the response, starting at 0."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub token_index: ::std::option::Option<u64>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<ChatUsage>,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "A complete response."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatCompletion {
    #[doc = "The choices; there is always exactly one."]
    pub choices: ::std::vec::Vec<ChatChoice>,
    #[doc = "Identifier of the response."]
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
    #[doc = "A string, or a list of content parts of several types."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub content: ::std::option::Option<::serde_json::Value>,
    #[doc = "Role of the author, such as `user` or `assistant`."]
    pub role: ::std::string::String,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "A request of the chat completions protocol. Fields that are not listed are forwarded to the engine unchanged."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatRequest {
    #[doc = "Newer name of `max_tokens`."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_completion_tokens: ::std::option::Option<u64>,
    #[doc = "Maximum number of tokens in the response."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u64>,
    #[doc = "The messages of the conversation so far."]
    pub messages: ::std::vec::Vec<ChatMessage>,
    #[doc = "Name of the model that generates the response."]
    pub model: ::std::string::String,
    #[doc = "Engine extension: number of tokens of the response that were already delivered."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub resume_from: ::std::option::Option<u64>,
    #[doc = "Whether the response is streamed as server-sent events."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stream: ::std::option::Option<bool>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stream_options: ::std::option::Option<StreamOptions>,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "Token counts of one request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatUsage {
    #[doc = "Number of generated tokens."]
    #[serde(default)]
    pub completion_tokens: u64,
    #[doc = "Number of prompt tokens."]
    #[serde(default)]
    pub prompt_tokens: u64,
    #[doc = "Sum of prompt and generated tokens."]
    #[serde(default)]
    pub total_tokens: u64,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "Additions of a chunk to one choice."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChunkChoice {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub delta: ::std::option::Option<ChunkDelta>,
    #[doc = "Why the generation ended."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "Additions of a chunk to a message."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChunkDelta {
    #[doc = "Text to append to the content."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub content: ::std::option::Option<::std::string::String>,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
#[doc = "Body of an error response."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ErrorBody {
    pub error: ErrorDetail,
}
#[doc = "Description of an error."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ErrorDetail {
    #[doc = "Machine-readable identifier of the error."]
    pub code: ::std::string::String,
    #[doc = "Human-readable message."]
    pub message: ::std::string::String,
    #[doc = "Category of the error."]
    #[serde(rename = "type")]
    pub type_: ::std::string::String,
}
#[doc = "Description of one model."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ModelCard {
    #[doc = "Seconds since the Unix epoch; 0 when unknown."]
    pub created: u64,
    #[doc = "Name of the model."]
    pub id: ::std::string::String,
    #[doc = "Always `model`."]
    pub object: ::std::string::String,
    #[doc = "Owner of the model."]
    pub owned_by: ::std::string::String,
}
#[doc = "The models that a workspace may use."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ModelList {
    #[doc = "One entry for each model."]
    pub data: ::std::vec::Vec<ModelCard>,
    #[doc = "Always `list`."]
    pub object: ::std::string::String,
}
#[doc = "Options of a streamed response."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct StreamOptions {
    #[doc = "Whether a final chunk contains the usage."]
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
