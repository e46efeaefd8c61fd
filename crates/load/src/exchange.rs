//! One request and its streamed answer, as a caller sees them.

use crate::{LoadPlan, LoadTarget};
use futures::StreamExt;
use reqwest::Response;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Events at the end of a stream that carry no token: the last chunk with its
/// finish reason, and the end marker.
const EVENTS_WITHOUT_TOKEN: u64 = 2;

/// What became of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExchangeRecord {
    /// Status of the response; 0 if none came.
    pub(crate) status: u16,
    /// The error's code, of a refusal.
    pub(crate) refusal: Option<String>,
    /// Whether the end marker came.
    pub(crate) complete: bool,
    /// Time to the first event.
    pub(crate) first_token: Option<Duration>,
    /// Time between events; events that arrive together share the gap.
    pub(crate) gaps: Vec<Duration>,
    /// Tokens received.
    pub(crate) tokens: u64,
}

impl ExchangeRecord {
    /// Returns the record of a request of which nothing is known.
    pub(crate) fn lost() -> Self {
        Self::default()
    }
}

/// A request about to be sent.
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
        let mut record = ExchangeRecord::lost();
        // On a timeout the record keeps what had come by then.
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
