//! Requests that were sent to an upstream, until they end.

use crate::entry::placement::Choice;
use crate::entry::pools::Part;
use crate::entry::{Attempt, EntryPolicy, priority};
use crate::{AttemptEnd, EntryAction, RequestFacts, Target, Timestamp, UpstreamKey};
use lagoonlift_types::{RequestId, Supply};

/// Weight of the newest answer in a workspace's expected output share.
const OUTPUT_SHARE_GAIN: f64 = 0.05;

impl EntryPolicy {
    pub(super) fn send(&mut self, now: Timestamp, mut attempt: Attempt, upstream: UpstreamKey) {
        attempt.upstream = upstream;
        if let Some(record) = self.upstreams.get_mut(upstream) {
            let prompt_tokens = match attempt.prompt_is_read {
                true => 0,
                false => attempt.facts.prompt_tokens,
            };
            record.sent(now, prompt_tokens, u32::from(attempt.part == Part::Answer));
            let is_cheap = record.facts.supply == Supply::Reclaimable;
            let site = record.site;
            if self.cheap_requests.len() <= site {
                self.cheap_requests.resize(site + 1, 0);
            }
            self.cheap_requests[site] += u32::from(is_cheap);
        }
        if let (Some(prefix), false) = (attempt.facts.prefix, attempt.prompt_is_read) {
            self.prefixes.add(prefix, upstream);
        }
        self.attempts.insert(attempt.facts.request, attempt);
    }

    /// Takes an attempt out of its upstream's load.
    fn release(&mut self, now: Timestamp, attempt: &Attempt) {
        let Some(record) = self.upstreams.get_mut(attempt.upstream) else {
            return;
        };
        if !attempt.prompt_is_read {
            record.prompt_read(attempt.facts.prompt_tokens);
        }
        if attempt.part == Part::Answer {
            record.stream_ended(now);
        }
        if record.facts.supply == Supply::Reclaimable
            && let Some(count) = self.cheap_requests.get_mut(record.site)
        {
            *count = count.saturating_sub(1);
        }
    }

    pub(super) fn note_first_token(&mut self, request: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return;
        };
        if attempt.prompt_is_read {
            return;
        }
        attempt.prompt_is_read = true;
        if let Some(record) = self.upstreams.get_mut(attempt.upstream) {
            record.prompt_read(attempt.facts.prompt_tokens);
        }
    }

    pub(super) fn note_move(&mut self, now: Timestamp, request: RequestId, upstream: UpstreamKey) {
        if let Some(attempt) = self.attempts.remove(&request) {
            self.release(now, &attempt);
            self.send(now, attempt, upstream);
        }
    }

    pub(super) fn finish_reading(
        &mut self,
        now: Timestamp,
        request: RequestId,
        upstream: UpstreamKey,
        actions: &mut Vec<EntryAction>,
    ) {
        let is_current = self.attempts.get(&request).is_some_and(|attempt| {
            attempt.upstream == upstream && attempt.part == Part::Prompt && !attempt.prompt_is_read
        });
        let Some(mut attempt) = self.attempts.remove(&request).filter(|_| is_current) else {
            return;
        };
        self.release(now, &attempt);
        attempt.prompt_is_read = true;
        let target = attempt.facts.target.clone();
        self.attempts.insert(request, attempt);
        if let Some(queue) = self.queues.get_mut(&target) {
            queue.read.push_back(request);
        }
        self.drain(now, &target, actions);
    }

    /// Finds engines for the answers whose prompts were read; these wait for
    /// nothing but an engine that takes work.
    pub(super) fn answer_read(
        &mut self,
        now: Timestamp,
        target: &Target,
        actions: &mut Vec<EntryAction>,
    ) {
        let read = match self.queues.get_mut(target) {
            Some(queue) => std::mem::take(&mut queue.read),
            None => return,
        };
        for request in read {
            let Some(mut attempt) = self.attempts.remove(&request) else {
                continue;
            };
            let choice = self.search(now, &attempt.facts, &[], Part::Answer, f64::INFINITY);
            let Choice::Found(upstream, _) = choice else {
                self.attempts.insert(request, attempt);
                if let Some(queue) = self.queues.get_mut(target) {
                    queue.read.push_back(request);
                }
                continue;
            };
            if let Some(queue) = self.queues.get_mut(target) {
                queue.reading = queue.reading.saturating_sub(1);
            }
            attempt.part = Part::Answer;
            let priority = priority(attempt.facts.urgency);
            self.send(now, attempt, upstream);
            actions.push(EntryAction::Dispatch {
                request,
                upstream,
                priority,
            });
        }
    }

    pub(super) fn finish(
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
        if let Some(attempt) = self.forget_attempt(now, request) {
            self.settle(&attempt, end);
        }
        self.drain_upstream(now, upstream, actions);
    }

    pub(super) fn forget_attempt(&mut self, now: Timestamp, request: RequestId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&request)?;
        let waits_for_engine = attempt.part == Part::Prompt && attempt.prompt_is_read;
        if !waits_for_engine {
            self.release(now, &attempt);
        }
        if attempt.part == Part::Prompt
            && let Some(queue) = self.queues.get_mut(&attempt.facts.target)
        {
            queue.reading = queue.reading.saturating_sub(1);
        }
        Some(attempt)
    }

    fn settle(&mut self, attempt: &Attempt, end: AttemptEnd) {
        let workspace = attempt.facts.workspace;
        let cost = match end {
            AttemptEnd::Completed { output_tokens } => {
                self.learn_output(&attempt.facts, output_tokens);
                attempt.facts.prompt_tokens + output_tokens
            }
            AttemptEnd::Busy => 0,
            AttemptEnd::UpstreamFailed | AttemptEnd::Cancelled => attempt.charged,
        };
        if let Some(queue) = self.queues.get_mut(&attempt.facts.target) {
            queue.queue.correct_charge(workspace, attempt.charged, cost);
        }
    }

    fn learn_output(&mut self, facts: &RequestFacts, output_tokens: u64) {
        if let Some(workspace) = self.workspaces.get_mut(facts.workspace) {
            let used = output_tokens as f64 / facts.max_output_tokens.max(1) as f64;
            workspace.output_share += OUTPUT_SHARE_GAIN * (used - workspace.output_share);
        }
    }
}
