//! The steps of a simulated engine: what each one executes and how it ends.

use super::{ActiveStream, EngineEvent, EngineModel, JobPhase, RoleChange, Step, reserved_tokens};
use lagoonlift_policy::Timestamp;
use std::collections::VecDeque;

impl EngineModel {
    /// Ends the step and the role change that are due by `now`, appends their events
    /// and starts the next step.
    pub fn advance(&mut self, now: Timestamp, events: &mut Vec<EngineEvent>) {
        if let Some(step) = self.step
            && step.ends_at <= now
        {
            self.step = None;
            self.end_chunk(step, events);
            self.end_iterations(step, events);
        }
        if let Some(RoleChange::Switching(role, until)) = self.change
            && until <= now
        {
            self.change = None;
            self.role = role;
            events.push(EngineEvent::RoleChanged { role });
        }
        self.drop_cancelled();
        self.continue_change(now);
        self.start_step(now);
    }

    fn end_chunk(&mut self, step: Step, events: &mut Vec<EngineEvent>) {
        let Some((id, tokens)) = step.chunk else {
            return;
        };
        let mut queues = self.waiting.values_mut().flatten();
        let Some(waiting) = queues.find(|waiting| waiting.job.id == id) else {
            return;
        };
        waiting.remaining_prompt_tokens -= tokens.min(waiting.remaining_prompt_tokens);
        let job = waiting.job;
        if waiting.remaining_prompt_tokens > 0 {
            return;
        }
        self.cache.insert(job.prefix, events);
        match job.phase {
            JobPhase::PrefillOnly => {
                self.remove_waiting(id);
                self.reserved_kv_tokens -= job.prompt_tokens;
                events.push(EngineEvent::Prefilled { id });
            }
            JobPhase::PrefillDecode | JobPhase::DecodeOnly => {}
        }
    }

    fn end_iterations(&mut self, step: Step, events: &mut Vec<EngineEvent>) {
        for stream in &mut self.streams {
            if stream.generated_tokens == 0 && step.iterations > 0 {
                events.push(EngineEvent::FirstToken { id: stream.job.id });
            }
            stream.generated_tokens += step.iterations;
        }
        let mut freed = 0;
        self.streams.retain(|stream| {
            let is_done = stream.generated_tokens >= stream.job.output_tokens;
            if is_done {
                freed += stream.job.prompt_tokens + stream.job.output_tokens;
                events.push(EngineEvent::Completed { id: stream.job.id });
            }
            !is_done
        });
        self.reserved_kv_tokens -= freed;
    }

    fn remove_waiting(&mut self, id: u64) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| waiting.job.id != id);
        }
    }

    fn drop_cancelled(&mut self) {
        if self.cancelled.is_empty() {
            return;
        }
        let cancelled = std::mem::take(&mut self.cancelled);
        let mut freed = 0;
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| {
                let keep = !cancelled.contains(&waiting.job.id);
                if !keep && waiting.is_started {
                    freed += reserved_tokens(&waiting.job);
                }
                keep
            });
        }
        self.streams.retain(|stream| {
            let keep = !cancelled.contains(&stream.job.id);
            if !keep {
                freed += stream.job.prompt_tokens + stream.job.output_tokens;
            }
            keep
        });
        self.reserved_kv_tokens -= freed;
    }

    pub(super) fn continue_change(&mut self, now: Timestamp) {
        let is_idle = self.streams.is_empty() && self.waiting.values().all(VecDeque::is_empty);
        if let Some(RoleChange::Draining(role)) = self.change
            && is_idle
        {
            let until = now + self.costs.role_change_duration;
            self.change = Some(RoleChange::Switching(role, until));
        }
    }

    pub(super) fn start_step(&mut self, now: Timestamp) {
        if self.step.is_some() || matches!(self.change, Some(RoleChange::Switching(..))) {
            return;
        }
        self.fill_batch();
        let chunk = self.next_chunk();
        let iterations = self.iterations(chunk.is_some());
        if chunk.is_none() && iterations == 0 {
            return;
        }
        let chunk_tokens = chunk.map_or(0, |(_, tokens)| tokens);
        let duration = self
            .costs
            .step_duration(chunk_tokens, self.streams.len(), iterations);
        self.busy_time += duration;
        self.step = Some(Step {
            ends_at: now + duration,
            chunk,
            iterations,
        });
    }

    /// Moves jobs with prefilled prompts into the batch while it has room.
    fn fill_batch(&mut self) {
        for queue in self.waiting.values_mut() {
            let mut index = 0;
            while index < queue.len() && self.streams.len() < self.costs.batch_limit {
                let waiting = &mut queue[index];
                let reserved = reserved_tokens(&waiting.job);
                let has_memory =
                    self.reserved_kv_tokens + reserved <= self.costs.kv_capacity_tokens;
                match () {
                    () if waiting.remaining_prompt_tokens > 0 => index += 1,
                    () if !waiting.is_started && !has_memory => return,
                    () => {
                        if !waiting.is_started {
                            self.reserved_kv_tokens += reserved;
                        }
                        let job = waiting.job;
                        queue.remove(index);
                        self.streams.push(ActiveStream {
                            job,
                            generated_tokens: 0,
                        });
                    }
                }
            }
        }
    }

    /// Returns the job whose prompt is prefilled next and the number of its tokens.
    ///
    /// Picks the first waiting prompt by priority, and nothing if the KV memory has
    /// no room for it.
    fn next_chunk(&mut self) -> Option<(u64, u64)> {
        let mut waiting_jobs = self.waiting.values_mut().flatten();
        let waiting = waiting_jobs.find(|waiting| waiting.remaining_prompt_tokens > 0)?;
        if !waiting.is_started {
            let reserved = reserved_tokens(&waiting.job);
            if self.reserved_kv_tokens + reserved > self.costs.kv_capacity_tokens {
                return None;
            }
            self.reserved_kv_tokens += reserved;
            waiting.is_started = true;
            let cached = self.cache.cached_tokens(waiting.job.prefix);
            waiting.remaining_prompt_tokens -= cached.min(waiting.remaining_prompt_tokens - 1);
        }
        let limit = match self.streams.is_empty() {
            true => self.costs.chunk_tokens,
            false => self.costs.mixed_chunk_tokens,
        };
        Some((waiting.job.id, waiting.remaining_prompt_tokens.min(limit)))
    }

    /// Returns the number of tokens that each stream generates in the next step;
    /// `has_chunk` tells whether the step also prefills.
    fn iterations(&self, has_chunk: bool) -> u64 {
        let remaining = |stream: &ActiveStream| stream.job.output_tokens - stream.generated_tokens;
        let shortest = self.streams.iter().map(remaining).min().unwrap_or(0);
        match has_chunk {
            true => shortest.min(1),
            false => shortest.min(self.costs.iterations_per_step),
        }
    }
}
