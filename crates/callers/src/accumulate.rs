//! Builds a complete chat completion from the chunks of a stream.
//!
//! Engines are always asked for a streamed response, because only a stream shows
//! that the engine is still making progress, and only a stream can be resumed.
//! For a caller that didn't ask for a stream, the chunks are merged into one
//! completion: strings are concatenated, objects are merged by field, and lists
//! are merged by the `index` of their items.

use crate::{ChatChoice, ChatChunk, ChatCompletion, ChatMessage, ChatUsage};
use serde_json::{Map, Value, json};

impl ChatUsage {
    /// Creates the usage of one response, whose total is the sum of both counts.
    pub fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
            extra: Map::new(),
        }
    }
}

/// Merges the chunks of a stream into a complete chat completion.
#[derive(Debug, Default)]
pub struct CompletionBuilder {
    completion_fields: Map<String, Value>,
    choice_fields: Map<String, Value>,
    message_fields: Map<String, Value>,
    finish_reason: Option<String>,
}

impl CompletionBuilder {
    /// Creates a builder without any chunks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges the next chunk of the stream.
    pub fn push(&mut self, chunk: ChatChunk) {
        for (name, value) in chunk.extra {
            self.completion_fields.entry(name).or_insert(value);
        }
        for choice in chunk.choices {
            if choice.finish_reason.is_some() {
                self.finish_reason = choice.finish_reason;
            }
            merge_map(&mut self.choice_fields, choice.extra);
            if let Some(delta) = choice.delta {
                if let Some(content) = delta.content {
                    merge_entry(
                        &mut self.message_fields,
                        "content".to_owned(),
                        content.into(),
                    );
                }
                merge_map(&mut self.message_fields, delta.extra);
            }
        }
    }

    /// Returns the completion with the identifier `id` and the billed `usage`.
    pub fn finish(mut self, id: String, usage: ChatUsage) -> ChatCompletion {
        let role = match self.message_fields.remove("role") {
            Some(Value::String(role)) => role,
            _ => "assistant".to_owned(),
        };
        let content = self.message_fields.remove("content").unwrap_or(Value::Null);
        let message = ChatMessage {
            role,
            content: Some(content),
            extra: self.message_fields,
        };
        self.choice_fields
            .entry("index")
            .or_insert_with(|| json!(0));
        self.completion_fields
            .insert("object".to_owned(), json!("chat.completion"));
        let choice = ChatChoice {
            message,
            finish_reason: self.finish_reason,
            extra: self.choice_fields,
        };
        ChatCompletion {
            id,
            choices: vec![choice],
            usage: Some(usage),
            extra: self.completion_fields,
        }
    }
}

fn merge_map(target: &mut Map<String, Value>, source: Map<String, Value>) {
    for (name, value) in source {
        merge_entry(target, name, value);
    }
}

fn merge_entry(target: &mut Map<String, Value>, name: String, value: Value) {
    match target.get_mut(&name) {
        None => {
            target.insert(name, value);
        }
        Some(existing) => merge_value(&name, existing, value),
    }
}

fn merge_value(name: &str, target: &mut Value, source: Value) {
    match (target, source) {
        (_, Value::Null) => {}
        // These fields hold identifiers, which may be repeated in each chunk and
        // must not be concatenated.
        (Value::String(_), Value::String(_)) if matches!(name, "role" | "id" | "type") => {}
        (Value::String(text), Value::String(more)) => text.push_str(&more),
        (Value::Object(map), Value::Object(more)) => merge_map(map, more),
        (Value::Array(items), Value::Array(more)) => merge_items(items, more),
        (target, source) => *target = source,
    }
}

fn merge_items(items: &mut Vec<Value>, more: Vec<Value>) {
    for item in more {
        let index = item.get("index").cloned();
        let has_same_index =
            |existing: &&mut Value| index.is_some() && existing.get("index") == index.as_ref();
        match items.iter_mut().find(has_same_index) {
            Some(existing) => merge_value("", existing, item),
            None => items.push(item),
        }
    }
}
