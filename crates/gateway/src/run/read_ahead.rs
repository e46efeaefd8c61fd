//! Has a prompt read by one engine, so that another can go on from its memory.

use super::Run;
use crate::clock;
use crate::prompt_memory::PromptMemory;
use crate::send::{Answer, SendOutcome, send};
use lagoonlift_adapter::upstream::{UpstreamTask, decode_kv_cache_handle};
use lagoonlift_policy::dispatch::SendResult;
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::time::Duration;

/// Share of the time left that a prompt's reading is waited for, so that
/// another engine can still read it.
const READ_SHARE: f64 = 0.45;

/// A read is waited for this many times as long as it is expected to take,
const READ_MARGIN: u32 = 3;

/// and this much longer; then another engine is asked.
const READ_PATIENCE: Duration = Duration::from_millis(400);

impl Run {
    /// Has a prompt read; on success its memory is at hand afterwards.
    pub(super) async fn read_ahead(
        &mut self,
        reader: UpstreamKey,
        parts_from: Option<UpstreamKey>,
    ) {
        let tokens = self.admitted.outgoing.request.prompt.prompt_tokens;
        let task = UpstreamTask::Prefill {
            prefix_source: parts_from.and_then(|holder| self.address_of(holder)),
        };
        let mut order = self.order(reader, task, u64::from(tokens));
        let queued_tokens = self.queued_tokens(reader) + u64::from(tokens);
        order.until = self.read_until(queued_tokens);
        let Some(order) = self.take_allowance(order) else {
            self.tried.push(reader);
            return;
        };
        let sent_at = clock::now();
        let outcome = send(&self.host, &self.admitted.outgoing, order).await;
        let result = match outcome {
            SendOutcome::Answered(answer) if answer.head.status.is_success() => {
                let latency = clock::now().since(sent_at);
                self.host
                    .placement
                    .borrow_mut()
                    .record_prefill(queued_tokens, latency);
                self.path.reader = self.name_of(reader);
                self.path.read_time = Some(latency);
                match self.take_memory(reader, answer).await {
                    true => return self.ledger.record_prefill(),
                    false => SendResult::Unknown,
                }
            }
            SendOutcome::NotSent(_) | SendOutcome::NotOpened(_) => {
                self.put_back();
                SendResult::NotSent
            }
            SendOutcome::NotRun => SendResult::NotRun,
            _ => SendResult::Unknown,
        };
        self.tried.push(reader);
        self.ledger.record_prefill_failure(result);
    }

    /// Returns the prompt tokens that all hosts have waiting at an engine.
    fn queued_tokens(&self, engine: UpstreamKey) -> u64 {
        let table = self.host.table.borrow();
        let peers = self.host.peer_loads.borrow();
        table
            .get(engine)
            .map_or(0, |one| one.prefill_backlog(&peers))
    }

    fn read_until(&self, queued_tokens: u64) -> Timestamp {
        let now = clock::now();
        let longest = self.admitted.until.since(now).mul_f64(READ_SHARE);
        let expected = self.host.placement.borrow().prefill_time(queued_tokens);
        now + longest.min(READ_PATIENCE + expected * READ_MARGIN)
    }

    async fn take_memory(&mut self, reader: UpstreamKey, answer: Box<Answer>) -> bool {
        let holder = self.address_of(reader);
        let body = answer.read_whole().await;
        let handle = match (holder, &body) {
            (Some(holder), Ok((_, body))) => decode_kv_cache_handle(holder, body),
            _ => None,
        };
        self.memory = handle.map(|handle| PromptMemory::new(&self.host, reader, handle));
        self.memory.is_some()
    }
}
