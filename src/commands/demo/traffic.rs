//! Requests that the demo sends.

use super::super::local::MODEL;
use super::ledger::DemoLedger;
use eyre::Result;
use futures::future::join_all;
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// API key of the workspace `plumbers`.
pub(crate) const PLUMBERS_KEY: &str = "demo-key-of-the-plumbers";
/// API key of the workspace `property`.
pub(crate) const PROPERTY_KEY: &str = "demo-key-of-the-property-manager";
/// API key of the workspace `flooder`.
pub(crate) const FLOODER_KEY: &str = "demo-key-of-the-flooder";

/// Number of urgent streams of the workspace `plumbers`.
const TRIAGE_REQUESTS: usize = 40;
/// Number of long summaries of the workspace `property`.
const SUMMARY_REQUESTS: usize = 12;
/// Number of requests of the workspace `flooder`, which exceed its limits.
const FLOOD_REQUESTS: usize = 60;
/// Maximum length of a printed response body, in characters.
const MAX_PRINTED_CHARACTERS: usize = 72;

/// One request of the demo, with the workspace that sends it.
struct DemoRequest {
    workspace: &'static str,
    request: RequestBuilder,
}

/// Sends the sample requests and then the mixed load, and counts the outcomes.
///
/// The mixed load is distributed round-robin over the entries at `entry_addrs`.
pub(crate) async fn send_all(entry_addrs: &[SocketAddr], ledger: &mut DemoLedger) -> Result<()> {
    let client = Client::new();
    show_samples(&client, entry_addrs, ledger).await?;
    let url = |index: usize| format!("http://{}", entry_addrs[index % entry_addrs.len()]);
    let triage = (0..TRIAGE_REQUESTS).map(|index| DemoRequest {
        workspace: "plumbers",
        request: chat(&client, &url(index), "triage", 24, index, true).bearer_auth(PLUMBERS_KEY),
    });
    let summaries = (0..SUMMARY_REQUESTS).map(|index| DemoRequest {
        workspace: "property",
        request: chat(&client, &url(index), "summary", 200, index, false).bearer_auth(PROPERTY_KEY),
    });
    let flood = (0..FLOOD_REQUESTS).map(|index| DemoRequest {
        workspace: "flooder",
        request: chat(&client, &url(index), "default", 16, index, true).bearer_auth(FLOODER_KEY),
    });
    let sends = triage.chain(summaries).chain(flood).map(send);
    for (workspace, outcome) in join_all(sends)
        .await
        .into_iter()
        .collect::<Result<Vec<_>>>()?
    {
        ledger.count(workspace, &outcome);
    }
    Ok(())
}

/// Sends one request of each kind to the first entry and prints the responses.
async fn show_samples(
    client: &Client,
    entry_addrs: &[SocketAddr],
    ledger: &mut DemoLedger,
) -> Result<()> {
    let url = format!("http://{}", entry_addrs[0]);
    let services_url = format!("{url}/v1/services/plumbers");
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
                .post(format!("{services_url}/bookings/7"))
                .bearer_auth(PLUMBERS_KEY)
                .body("pump"),
        ),
        (
            "an open route",
            client.get(format!("{services_url}/status/now")),
        ),
        (
            "a wrong key",
            chat(client, &url, "default", 6, 0, false).bearer_auth("wrong"),
        ),
    ];
    for (label, request) in samples {
        let response = request.send().await?;
        let (status, outcome) = (response.status(), outcome_of(&response));
        let text = response.text().await?;
        let printed: String = text.trim().chars().take(MAX_PRINTED_CHARACTERS).collect();
        println!(
            "{label}: {status}, {outcome}\n    {}",
            printed.replace('\n', " ")
        );
        // Requests for the list of models are not billed.
        match label {
            "the models" => {}
            "a wrong key" => ledger.count("(no key)", &outcome),
            _ => ledger.count("plumbers", &outcome),
        }
    }
    Ok(())
}

async fn send(demo_request: DemoRequest) -> Result<(&'static str, String)> {
    let response = demo_request.request.send().await?;
    let outcome = outcome_of(&response);
    // A streamed response counts as served only if it was received completely.
    let outcome = match response.text().await {
        Ok(_) => outcome,
        Err(_) => "cut".to_owned(),
    };
    Ok((demo_request.workspace, outcome))
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
        // The headers of a stream are sent before its outcome is known.
        None if response.status().is_success() => "answered".to_owned(),
        None => "unknown".to_owned(),
    }
}
