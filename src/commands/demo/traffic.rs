//! The mixed load of the demo.

use super::super::local::MODEL;
use super::ledger::DemoLedger;
use eyre::Result;
use futures::future::join_all;
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use std::net::SocketAddr;

pub(crate) const PLUMBERS_KEY: &str = "demo-key-of-the-plumbers";
pub(crate) const PROPERTY_KEY: &str = "demo-key-of-the-property-manager";
pub(crate) const FLOODER_KEY: &str = "demo-key-of-the-flooder";

/// Urgent streams of the plumbers.
const TRIAGE_REQUESTS: usize = 40;
/// Long summaries of the property manager.
const SUMMARY_REQUESTS: usize = 12;
/// Requests by which the flooder exceeds its limit.
const FLOOD_REQUESTS: usize = 60;
/// Longest answer that is shown, in characters.
const SHOWN_CHARACTERS: usize = 72;

/// One request of the demo.
struct DemoCall {
    workspace: &'static str,
    request: RequestBuilder,
}

/// Sends the mixed load to all entries in turn and counts the outcomes.
pub(crate) async fn send_all(callers: &[SocketAddr], ledger: &mut DemoLedger) -> Result<()> {
    let client = Client::new();
    show_samples(&client, callers, ledger).await?;
    let url = |index: usize| format!("http://{}", callers[index % callers.len()]);
    let triage = (0..TRIAGE_REQUESTS).map(|index| DemoCall {
        workspace: "plumbers",
        request: chat(&client, &url(index), "triage", 24, index, true).bearer_auth(PLUMBERS_KEY),
    });
    let summaries = (0..SUMMARY_REQUESTS).map(|index| DemoCall {
        workspace: "property",
        request: chat(&client, &url(index), "summary", 200, index, false).bearer_auth(PROPERTY_KEY),
    });
    let flood = (0..FLOOD_REQUESTS).map(|index| DemoCall {
        workspace: "flooder",
        request: chat(&client, &url(index), "default", 16, index, true).bearer_auth(FLOODER_KEY),
    });
    let calls = triage.chain(summaries).chain(flood).map(perform);
    for (workspace, outcome) in join_all(calls)
        .await
        .into_iter()
        .collect::<Result<Vec<_>>>()?
    {
        ledger.count(workspace, &outcome);
    }
    Ok(())
}

/// Sends one request of each kind and shows what came back.
async fn show_samples(
    client: &Client,
    callers: &[SocketAddr],
    ledger: &mut DemoLedger,
) -> Result<()> {
    let url = format!("http://{}", callers[0]);
    let services = format!("{url}/v1/services/plumbers");
    let samples = [
        (
            "a plain answer",
            chat(client, &url, "default", 6, 0, false).bearer_auth(PLUMBERS_KEY),
        ),
        (
            "a streamed answer",
            chat(client, &url, "triage", 2, 0, true).bearer_auth(PLUMBERS_KEY),
        ),
        (
            "the models",
            client
                .get(format!("{url}/v1/models"))
                .bearer_auth(PLUMBERS_KEY),
        ),
        (
            "a booking",
            client
                .post(format!("{services}/bookings/7"))
                .bearer_auth(PLUMBERS_KEY)
                .body("pump"),
        ),
        (
            "an open route",
            client.get(format!("{services}/status/now")),
        ),
        (
            "a wrong key",
            chat(client, &url, "default", 6, 0, false).bearer_auth("wrong"),
        ),
    ];
    for (what, request) in samples {
        let response = request.send().await?;
        let (status, outcome) = (response.status(), outcome_of(&response));
        let text = response.text().await?;
        let shown: String = text.trim().chars().take(SHOWN_CHARACTERS).collect();
        println!(
            "{what}: {status}, {outcome}\n    {}",
            shown.replace('\n', " ")
        );
        // Reading the list of models is free; nobody is billed for it.
        match what {
            "the models" => {}
            "a wrong key" => ledger.count("(no key)", &outcome),
            _ => ledger.count("plumbers", &outcome),
        }
    }
    Ok(())
}

async fn perform(call: DemoCall) -> Result<(&'static str, String)> {
    let response = call.request.send().await?;
    let outcome = outcome_of(&response);
    // A streamed answer counts as served only if its end came.
    let outcome = match response.text().await {
        Ok(_) => outcome,
        Err(_) => "cut".to_owned(),
    };
    Ok((call.workspace, outcome))
}

fn chat(
    client: &Client,
    url: &str,
    class: &str,
    output_tokens: u64,
    index: usize,
    stream: bool,
) -> RequestBuilder {
    client
        .post(format!("{url}/v1/chat/completions"))
        .header("lagoonlift-class", class)
        .json(&chat_body(output_tokens, index, stream))
}

fn chat_body(output_tokens: u64, index: usize, stream: bool) -> Value {
    json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": format!("report {index}: water in the cellar") }],
        "max_tokens": output_tokens,
        "stream": stream,
    })
}

fn outcome_of(response: &Response) -> String {
    let header = response.headers().get("lagoonlift-outcome");
    let outcome = header.and_then(|value| value.to_str().ok());
    match outcome {
        Some(outcome) => outcome.to_owned(),
        // A stream's headers come before its outcome is known.
        None if response.status().is_success() => "answered".to_owned(),
        None => "unknown".to_owned(),
    }
}
