//! Puts a whole answer together from the chunks of a stream.
//!
//! Engines are always asked for a stream: only a stream shows that an engine
//! still works, and only a stream can be resumed. A caller that asked for a
//! whole answer gets the chunks put together: texts are joined, objects are
//! merged, lists are merged by their items' `index`.

use crate::{ChatChoice, ChatChunk, ChatCompletion, ChatMessage, ChatUsage};
use serde_json::{Map, Value, json};

impl ChatUsage {
    /// Creates the usage of one answer.
    pub fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
            extra: Map::new(),
        }
    }
}

/// Collects chunks into a whole answer.
#[derive(Debug, Default)]
pub struct CompletionBuilder {
    head: Map<String, Value>,
    choice: Map<String, Value>,
    message: Map<String, Value>,
    finish_reason: Option<String>,
}

impl CompletionBuilder {
    /// Creates a builder that holds no chunk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the next chunk.
    pub fn push(&mut self, chunk: ChatChunk) {
        for (name, value) in chunk.extra {
            self.head.entry(name).or_insert(value);
        }
        for choice in chunk.choices {
            if choice.finish_reason.is_some() {
                self.finish_reason = choice.finish_reason;
            }
            merge_map(&mut self.choice, choice.extra);
            if let Some(delta) = choice.delta {
                if let Some(content) = delta.content {
                    merge_entry(&mut self.message, "content".to_owned(), content.into());
                }
                merge_map(&mut self.message, delta.extra);
            }
        }
    }

    /// Returns the answer, named `id`, with the usage that is billed.
    pub fn finish(mut self, id: String, usage: ChatUsage) -> ChatCompletion {
        let role = match self.message.remove("role") {
            Some(Value::String(role)) => role,
            _ => "assistant".to_owned(),
        };
        let content = self.message.remove("content").unwrap_or(Value::Null);
        let message = ChatMessage {
            role,
            content: Some(content),
            extra: self.message,
        };
        self.choice.entry("index").or_insert_with(|| json!(0));
        self.head
            .insert("object".to_owned(), json!("chat.completion"));
        let choice = ChatChoice {
            message,
            finish_reason: self.finish_reason,
            extra: self.choice,
        };
        ChatCompletion {
            id,
            choices: vec![choice],
            usage: Some(usage),
            extra: self.head,
        }
    }
}

fn merge_map(into: &mut Map<String, Value>, from: Map<String, Value>) {
    for (name, value) in from {
        merge_entry(into, name, value);
    }
}

fn merge_entry(into: &mut Map<String, Value>, name: String, value: Value) {
    match into.get_mut(&name) {
        None => {
            into.insert(name, value);
        }
        Some(present) => merge_value(&name, present, value),
    }
}

fn merge_value(name: &str, into: &mut Value, from: Value) {
    match (into, from) {
        (_, Value::Null) => {}
        // These identify; joining them would name something else.
        (Value::String(_), Value::String(_)) if matches!(name, "role" | "id" | "type") => {}
        (Value::String(text), Value::String(more)) => text.push_str(&more),
        (Value::Object(map), Value::Object(more)) => merge_map(map, more),
        (Value::Array(items), Value::Array(more)) => merge_items(items, more),
        (into, from) => *into = from,
    }
}

fn merge_items(items: &mut Vec<Value>, more: Vec<Value>) {
    for item in more {
        let index = item.get("index").cloned();
        let same = |present: &&mut Value| index.is_some() && present.get("index") == index.as_ref();
        match items.iter_mut().find(same) {
            Some(present) => merge_value("", present, item),
            None => items.push(item),
        }
    }
}
