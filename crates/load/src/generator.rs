//! Sends requests at their scheduled times and collects their outcomes.

use crate::exchange::{Exchange, ExchangeRecord};
use crate::{LoadPlan, LoadResult, LoadTarget};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Sends the plan's requests to the target and waits for all responses.
pub async fn run_load(plan: &LoadPlan, target: &LoadTarget) -> LoadResult {
    let client = reqwest::Client::new();
    let start = Instant::now();
    let mut exchanges = FuturesUnordered::new();
    for (index, offset) in arrival_times(plan).into_iter().enumerate() {
        sleep_until(start + offset).await;
        let exchange = Exchange::new(client.clone(), plan, target, index as u64);
        exchanges.push(tokio::spawn(exchange.run()));
    }
    let mut result = LoadResult::new(plan);
    while let Some(joined) = exchanges.next().await {
        result.add(&joined.unwrap_or_else(|_| ExchangeRecord::without_response()));
    }
    result.set_elapsed(start.elapsed());
    result
}

/// Draws the send times from the seed, with exponentially distributed gaps (a Poisson
/// process).
fn arrival_times(plan: &LoadPlan) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut times = Vec::new();
    let mut time = 0.0;
    loop {
        let uniform: f64 = random.random();
        time += -(1.0 - uniform).ln() / plan.requests_per_second;
        match Duration::from_secs_f64(time) {
            offset if offset < plan.duration => times.push(offset),
            _ => return times,
        }
    }
}
