//! Putting whole answers together, and reading calls.

use lagoonlift_callers::{
    ChatChunk, ChatUsage, CompletionBuilder, ParseError, estimate_prompt_tokens, parse_chat_request,
};
use serde_json::json;

fn chunk(value: serde_json::Value) -> ChatChunk {
    serde_json::from_value(value).expect("the test's chunk follows the schema")
}

#[test]
fn joins_texts_and_tool_calls() {
    let mut builder = CompletionBuilder::new();
    builder.push(chunk(
        json!({"id": "a", "model": "m", "choices": [{"index": 0,
        "delta": {"role": "assistant", "content": "Go"}}]}),
    ));
    builder.push(chunk(json!({"id": "a", "choices": [{"index": 0, "delta": {"content": " now",
        "tool_calls": [{"index": 0, "id": "t", "function": {"name": "book", "arguments": "{\"a\""}}]}}]})));
    builder.push(chunk(
        json!({"id": "a", "choices": [{"index": 0, "finish_reason": "stop",
        "delta": {"tool_calls": [{"index": 0, "function": {"arguments": ":1}"}}]}}]}),
    ));
    let answer = builder.finish("b".to_owned(), ChatUsage::new(3, 2));
    let value = serde_json::to_value(answer).expect("an answer can be written");
    insta::assert_json_snapshot!(value);
}

#[test]
fn hands_unknown_fields_on_but_not_resume_from() {
    let body = br#"{"model":"m","messages":[{"role":"user","content":"hi","name":"x"}],
        "temperature":0.5,"resume_from":7}"#;
    let request = parse_chat_request(body).expect("the body is a call");
    let value = serde_json::to_value(&request).expect("a call can be written");
    assert_eq!(value["temperature"], json!(0.5));
    assert_eq!(value["messages"][0]["name"], json!("x"));
    assert_eq!(value.get("resume_from"), None);
    assert_eq!(estimate_prompt_tokens(&request), 5);
}

#[test]
fn tells_what_is_wrong_with_a_body() {
    let utf8 = parse_chat_request(b"{\"model\":\"\xff\"}");
    assert_eq!(utf8.err(), Some(ParseError::Utf8 { position: 10 }));
    assert!(matches!(parse_chat_request(b"{"), Err(ParseError::Json(_))));
    let empty = parse_chat_request(br#"{"model":"m","messages":[]}"#);
    assert!(matches!(empty, Err(ParseError::Value(_))));
}
