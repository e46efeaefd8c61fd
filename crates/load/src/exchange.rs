//! One request and its streamed response, measured from the caller's side.

use crate::{LoadPlan, LoadTarget};
use futures::StreamExt;
use reqwest::Response;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Number of events at the end of a stream that carry no token: the last chunk with
/// the finish reason, and the end marker.
const EVENTS_WITHOUT_TOKEN: u64 = 2;

/// The outcome of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExchangeRecord {
    /// Status of the response, or 0 if no response was received.
    pub(crate) status: u16,
    /// Error code of a response that isn't successful.
    pub(crate) refusal: Option<String>,
    /// Whether the end marker was received.
    pub(crate) complete: bool,
    /// Time from sending the request to the first event.
    pub(crate) first_token: Option<Duration>,
    /// Times between events. Events that arrive in one chunk share the time since the
    /// previous chunk equally, and count as one gap.
    pub(crate) gaps: Vec<Duration>,
    /// Number of tokens received.
    pub(crate) tokens: u64,
}

impl ExchangeRecord {
    /// Returns the record of a request without any response.
    pub(crate) fn without_response() -> Self {
        Self::default()
    }
}

/// A request to be sent.
pub(crate) struct Exchange {
    client: reqwest::Client,
    url: String,
    key: Option<String>,
    body: Value,
    timeout: Duration,
}

impl Exchange {
    pub(crate) fn new(
        client: reqwest::Client,
        plan: &LoadPlan,
        target: &LoadTarget,
        index: u64,
    ) -> Self {
        let body = json!({
            "model": target.model,
            "messages": [{ "role": "user", "content": prompt(plan, index) }],
            "max_tokens": plan.output_tokens,
            "stream": true,
        });
        Self {
            client,
            url: format!("http://{}/v1/chat/completions", target.address),
            key: target.key.clone(),
            body,
            timeout: plan.timeout,
        }
    }

    pub(crate) async fn run(self) -> ExchangeRecord {
        let mut record = ExchangeRecord::without_response();
        // After a timeout or an error, the record keeps what was received before.
        let _ = timeout(self.timeout, self.exchange(&mut record)).await;
        record
    }

    async fn exchange(&self, record: &mut ExchangeRecord) -> reqwest::Result<()> {
        let mut request = self.client.post(&self.url).json(&self.body);
        if let Some(key) = &self.key {
            request = request.bearer_auth(key);
        }
        let start = Instant::now();
        let response = request.send().await?;
        record.status = response.status().as_u16();
        match response.status().is_success() {
            true => read_stream(response, start, record).await,
            false => read_refusal(response, record).await,
        }
    }
}

async fn read_refusal(response: Response, record: &mut ExchangeRecord) -> reqwest::Result<()> {
    let body: Value = response.json().await?;
    record.refusal = body["error"]["code"].as_str().map(str::to_owned);
    Ok(())
}

async fn read_stream(
    response: Response,
    start: Instant,
    record: &mut ExchangeRecord,
) -> reqwest::Result<()> {
    let mut stream = response.bytes_stream();
    let mut previous = start;
    let mut events = 0;
    while let Some(bytes) = stream.next().await {
        let bytes = bytes?;
        let now = Instant::now();
        let arrived = count_events(&bytes);
        match record.first_token {
            None => record.first_token = Some(now - start),
            Some(_) if arrived > 0 => record.gaps.push((now - previous) / arrived as u32),
            Some(_) => {}
        }
        previous = now;
        events += arrived;
        record.complete |= bytes.ends_with(b"data: [DONE]\n\n");
    }
    record.tokens = events.saturating_sub(EVENTS_WITHOUT_TOKEN);
    Ok(())
}

fn count_events(bytes: &[u8]) -> u64 {
    bytes.windows(2).filter(|pair| pair == b"\n\n").count() as u64
}

fn prompt(plan: &LoadPlan, index: u64) -> String {
    let words = (1..plan.prompt_tokens).map(|word| format!(" w{word}"));
    let mut prompt = format!("p{}-{index}", plan.seed);
    prompt.extend(words);
    prompt
}
