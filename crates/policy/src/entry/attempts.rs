//! Bookkeeping of attempts, from the send to the end.
//!
//! Each attempt counts towards the load of its upstream and is charged to its
//! workspace with an estimated cost, which is corrected when the attempt ends.

use crate::entry::placement::Choice;
use crate::entry::pools::Phase;
use crate::entry::{Attempt, EntryPolicy, engine_priority};
use crate::{AttemptEnd, EntryAction, RequestFacts, Target, Timestamp, UpstreamKey};
use lagoonlift_types::{RequestId, Supply};

/// Weight of the latest response in the smoothed output share of a workspace,
/// 0 to 1.
const OUTPUT_SHARE_SMOOTHING: f64 = 0.05;

impl EntryPolicy {
    pub(super) fn record_send(
        &mut self,
        now: Timestamp,
        mut attempt: Attempt,
        upstream: UpstreamKey,
    ) {
        attempt.upstream = upstream;
        if let Some(record) = self.upstreams.get_mut(upstream) {
            let prompt_tokens = match attempt.is_prefilled {
                true => 0,
                false => attempt.facts.prompt_tokens,
            };
            record.add_load(
                now,
                prompt_tokens,
                u32::from(attempt.phase == Phase::Decode),
            );
            let is_reclaimable = record.facts.supply == Supply::Reclaimable;
            let data_centre_index = record.data_centre_index;
            if self.reclaimable_requests.len() <= data_centre_index {
                self.reclaimable_requests.resize(data_centre_index + 1, 0);
            }
            self.reclaimable_requests[data_centre_index] += u32::from(is_reclaimable);
        }
        if let (Some(prefix), false) = (attempt.facts.prefix, attempt.is_prefilled) {
            self.prefixes.add(prefix, upstream);
        }
        self.attempts.insert(attempt.facts.request, attempt);
    }

    /// Removes an attempt from the load of its upstream.
    fn release_load(&mut self, now: Timestamp, attempt: &Attempt) {
        let Some(record) = self.upstreams.get_mut(attempt.upstream) else {
            return;
        };
        if !attempt.is_prefilled {
            record.remove_prompt_tokens(attempt.facts.prompt_tokens);
        }
        if attempt.phase == Phase::Decode {
            record.record_stream_end(now);
        }
        if record.facts.supply == Supply::Reclaimable
            && let Some(count) = self.reclaimable_requests.get_mut(record.data_centre_index)
        {
            *count = count.saturating_sub(1);
        }
    }

    pub(super) fn record_first_token(&mut self, request: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return;
        };
        if attempt.is_prefilled {
            return;
        }
        attempt.is_prefilled = true;
        if let Some(record) = self.upstreams.get_mut(attempt.upstream) {
            record.remove_prompt_tokens(attempt.facts.prompt_tokens);
        }
    }

    pub(super) fn move_attempt(
        &mut self,
        now: Timestamp,
        request: RequestId,
        upstream: UpstreamKey,
    ) {
        if let Some(attempt) = self.attempts.remove(&request) {
            self.release_load(now, &attempt);
            self.record_send(now, attempt, upstream);
        }
    }

    pub(super) fn finish_prefill(
        &mut self,
        now: Timestamp,
        request: RequestId,
        upstream: UpstreamKey,
        actions: &mut Vec<EntryAction>,
    ) {
        let is_current = self.attempts.get(&request).is_some_and(|attempt| {
            attempt.upstream == upstream && attempt.phase == Phase::Prefill && !attempt.is_prefilled
        });
        let Some(mut attempt) = self.attempts.remove(&request).filter(|_| is_current) else {
            return;
        };
        self.release_load(now, &attempt);
        attempt.is_prefilled = true;
        let target = attempt.facts.target.clone();
        self.attempts.insert(request, attempt);
        if let Some(queue) = self.queues.get_mut(&target) {
            queue.prefilled.push_back(request);
        }
        self.process_queue(now, &target, actions);
    }

    /// Dispatches prefilled requests to decode engines.
    ///
    /// These requests ignore the load limits: they wait only if no decode engine
    /// accepts requests at all.
    pub(super) fn dispatch_prefilled(
        &mut self,
        now: Timestamp,
        target: &Target,
        actions: &mut Vec<EntryAction>,
    ) {
        let prefilled = match self.queues.get_mut(target) {
            Some(queue) => std::mem::take(&mut queue.prefilled),
            None => return,
        };
        for request in prefilled {
            let Some(mut attempt) = self.attempts.remove(&request) else {
                continue;
            };
            let choice = self.search(now, &attempt.facts, &[], Phase::Decode, f64::INFINITY);
            let Choice::Found(upstream, _) = choice else {
                self.attempts.insert(request, attempt);
                if let Some(queue) = self.queues.get_mut(target) {
                    queue.prefilled.push_back(request);
                }
                continue;
            };
            if let Some(queue) = self.queues.get_mut(target) {
                queue.awaiting_decode = queue.awaiting_decode.saturating_sub(1);
            }
            attempt.phase = Phase::Decode;
            let priority = engine_priority(attempt.facts.urgency);
            self.record_send(now, attempt, upstream);
            actions.push(EntryAction::Dispatch {
                request,
                upstream,
                priority,
            });
        }
    }

    pub(super) fn finish_attempt(
        &mut self,
        now: Timestamp,
        request: RequestId,
        upstream: UpstreamKey,
        end: AttemptEnd,
        actions: &mut Vec<EntryAction>,
    ) {
        let is_current = self
            .attempts
            .get(&request)
            .is_some_and(|attempt| attempt.upstream == upstream);
        if !is_current {
            return;
        }
        if let Some(attempt) = self.remove_attempt(now, request) {
            self.settle_charge(&attempt, end);
        }
        self.process_upstream_queues(now, upstream, actions);
    }

    pub(super) fn remove_attempt(&mut self, now: Timestamp, request: RequestId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&request)?;
        let awaits_decode_engine = attempt.phase == Phase::Prefill && attempt.is_prefilled;
        if !awaits_decode_engine {
            self.release_load(now, &attempt);
        }
        if attempt.phase == Phase::Prefill
            && let Some(queue) = self.queues.get_mut(&attempt.facts.target)
        {
            queue.awaiting_decode = queue.awaiting_decode.saturating_sub(1);
        }
        Some(attempt)
    }

    fn settle_charge(&mut self, attempt: &Attempt, end: AttemptEnd) {
        let workspace = attempt.facts.workspace;
        let cost = match end {
            AttemptEnd::Completed { output_tokens } => {
                self.update_output_share(&attempt.facts, output_tokens);
                attempt.facts.prompt_tokens + output_tokens
            }
            AttemptEnd::Busy => 0,
            AttemptEnd::UpstreamFailed | AttemptEnd::Cancelled => attempt.charged_tokens,
        };
        if let Some(queue) = self.queues.get_mut(&attempt.facts.target) {
            queue
                .pending
                .correct_charge(workspace, attempt.charged_tokens, cost);
        }
    }

    fn update_output_share(&mut self, facts: &RequestFacts, output_tokens: u64) {
        if let Some(workspace) = self.workspaces.get_mut(facts.workspace) {
            let used = output_tokens as f64 / facts.max_output_tokens.max(1) as f64;
            workspace.output_share += OUTPUT_SHARE_SMOOTHING * (used - workspace.output_share);
        }
    }
}
