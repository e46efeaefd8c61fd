//! A model of one engine: batching, prefill, decode, KV memory, role changes.
//!
//! Decisions are compared by what they do to engines, and a run of ten minutes
//! on a whole fleet must take seconds and come out the same every time. The
//! model therefore keeps no clock: its caller passes the virtual time in and
//! asks when the step in progress ends. It is a model of one engine; whoever
//! needs several creates several.
//!
//! An engine works in steps. A step reads at most one chunk of one waiting
//! prompt and generates a token, or a few, for every active stream. A step that
//! does both is slower than its two halves; that is what roles are for.

mod cache;
mod costs;
mod feeds;

pub use cache::PrefixCache;
pub use costs::EngineCosts;
pub use feeds::{CacheFeed, DelayedFeed};

use lagoonlift_policy::{LoadReport, PrefixHash, Timestamp};
use lagoonlift_types::UpstreamRole;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// What an engine is to do for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// Read the prompt and generate the answer.
    Whole,
    /// Read the prompt and keep its KV cache for export.
    PrefillOnly,
    /// Generate the answer from an imported KV cache.
    DecodeOnly,
}

/// One request as an engine sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineJob {
    /// Identifies it; chosen by the caller.
    pub id: u64,
    /// What to do.
    pub phase: JobPhase,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens in the answer. At least 1.
    pub output_tokens: u64,
    /// Beginning of the prompt that others share, and its length in tokens.
    pub prefix: Option<(PrefixHash, u64)>,
    /// Lower goes first.
    pub priority: u8,
}

/// What became of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A prompt was read; its KV cache can be exported.
    Prefilled {
        /// The job.
        id: u64,
    },
    /// The first token of an answer came.
    FirstToken {
        /// The job.
        id: u64,
    },
    /// The last token of an answer came.
    Completed {
        /// The job.
        id: u64,
    },
    /// The prefix cache changed.
    CacheChanged {
        /// The prefix.
        prefix: PrefixHash,
        /// Whether it is held now.
        held: bool,
    },
    /// A role change is over.
    RoleChanged {
        /// The new role.
        role: UpstreamRole,
    },
}

/// Why an engine refused a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRefusal {
    /// Its own queue is full.
    Busy,
    /// Its role doesn't do this phase, or it is changing its role.
    WrongRole,
}

/// A job on its way from one engine to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobProgress {
    /// The job.
    pub job: EngineJob,
    /// Tokens of its prompt that have yet to be read.
    pub unread_tokens: u64,
    /// Tokens of its answer so far.
    pub generated: u64,
}

#[derive(Clone, Copy, Debug)]
struct WaitingJob {
    job: EngineJob,
    unread_tokens: u64,
    started: bool,
}

#[derive(Clone, Copy, Debug)]
struct ActiveStream {
    job: EngineJob,
    generated: u64,
}

/// What the step in progress will have done when it ends.
#[derive(Clone, Copy, Debug)]
struct Step {
    ends_at: Timestamp,
    chunk: Option<(u64, u64)>,
    iterations: u64,
}

/// A role change that has been ordered.
#[derive(Clone, Copy, Debug)]
enum RoleChange {
    /// Waits for the work in hand to end.
    Draining(UpstreamRole),
    /// Takes until the given time.
    Away(UpstreamRole, Timestamp),
}

/// One engine on virtual time.
#[derive(Debug)]
pub struct EngineModel {
    costs: EngineCosts,
    role: UpstreamRole,
    change: Option<RoleChange>,
    waiting: BTreeMap<u8, VecDeque<WaitingJob>>,
    streams: Vec<ActiveStream>,
    cancelled: BTreeSet<u64>,
    cache: PrefixCache,
    kv_tokens: u64,
    step: Option<Step>,
    busy: Duration,
}

impl EngineModel {
    /// Creates an idle engine.
    pub fn new(costs: EngineCosts, role: UpstreamRole) -> Self {
        Self {
            costs,
            role,
            change: None,
            waiting: BTreeMap::new(),
            streams: Vec::new(),
            cancelled: BTreeSet::new(),
            cache: PrefixCache::new(costs.cache_tokens),
            kv_tokens: 0,
            step: None,
            busy: Duration::ZERO,
        }
    }

    /// Returns the role it has, or had until the change in progress.
    pub fn role(&self) -> UpstreamRole {
        self.role
    }

    /// Returns whether it takes work.
    pub fn is_serving(&self) -> bool {
        self.change.is_none()
    }

    /// Returns for how long it has worked in all.
    pub fn busy(&self) -> Duration {
        self.busy
    }

    /// Takes a job.
    ///
    /// # Errors
    ///
    /// Refuses when the engine's queue is full or its role doesn't fit; nothing
    /// of the job has run then.
    pub fn submit(&mut self, now: Timestamp, job: EngineJob) -> Result<(), JobRefusal> {
        let fits = match (self.role, job.phase) {
            (UpstreamRole::Prefill, JobPhase::PrefillOnly) => true,
            (UpstreamRole::Prefill, _) => false,
            (UpstreamRole::Decode | UpstreamRole::Mixed, _) => true,
        };
        let queued: usize = self.waiting.values().map(VecDeque::len).sum();
        match () {
            () if !fits || self.change.is_some() => return Err(JobRefusal::WrongRole),
            () if queued >= self.costs.queue_limit => return Err(JobRefusal::Busy),
            () => {}
        }
        let unread_tokens = match job.phase {
            JobPhase::DecodeOnly => 0,
            JobPhase::Whole | JobPhase::PrefillOnly => job.prompt_tokens,
        };
        let queue = self.waiting.entry(job.priority).or_default();
        queue.push_back(WaitingJob {
            job,
            unread_tokens,
            started: false,
        });
        self.start_step(now);
        Ok(())
    }

    /// Gives a job up; the step in progress is not interrupted.
    pub fn cancel(&mut self, id: u64) {
        self.cancelled.insert(id);
    }

    /// Drops all work, as a crash does, and returns the jobs that were lost.
    pub fn crash(&mut self) -> Vec<u64> {
        let waiting = self
            .waiting
            .values()
            .flatten()
            .map(|waiting| waiting.job.id);
        let streams = self.streams.iter().map(|stream| stream.job.id);
        let lost = waiting.chain(streams).collect();
        self.waiting.clear();
        self.streams.clear();
        self.kv_tokens = 0;
        self.step = None;
        self.change = None;
        self.cache = PrefixCache::new(self.costs.cache_tokens);
        lost
    }

    /// Orders a role change; it begins when the work in hand has ended.
    pub fn change_role(&mut self, now: Timestamp, role: UpstreamRole) {
        self.change = Some(RoleChange::Draining(role));
        self.continue_change(now);
    }

    /// Sets the role at once and at no cost. No real engine can; a bound needs it.
    pub fn set_role(&mut self, role: UpstreamRole) {
        self.role = role;
    }

    /// Takes out all work, with its progress, to be moved to other engines.
    pub fn take_jobs(&mut self) -> Vec<JobProgress> {
        let waiting = std::mem::take(&mut self.waiting);
        let waiting = waiting.into_values().flatten().map(|waiting| JobProgress {
            job: waiting.job,
            unread_tokens: waiting.unread_tokens,
            generated: 0,
        });
        let streams = std::mem::take(&mut self.streams);
        let streams = streams.into_iter().map(|stream| JobProgress {
            job: stream.job,
            unread_tokens: 0,
            generated: stream.generated,
        });
        self.kv_tokens = 0;
        waiting.chain(streams).collect()
    }

    /// Continues work that was taken from another engine.
    pub fn put_job(&mut self, now: Timestamp, progress: JobProgress) {
        let job = progress.job;
        match progress.generated {
            0 => {
                let queue = self.waiting.entry(job.priority).or_default();
                queue.push_back(WaitingJob {
                    job,
                    unread_tokens: progress.unread_tokens,
                    started: false,
                });
            }
            generated => {
                self.kv_tokens += reserved_tokens(&job);
                self.streams.push(ActiveStream { job, generated });
            }
        }
        self.start_step(now);
    }

    /// Returns when the model has to be advanced next, if it isn't idle.
    pub fn next_event(&self) -> Option<Timestamp> {
        match self.change {
            Some(RoleChange::Away(_, until)) => Some(until),
            _ => self.step.map(|step| step.ends_at),
        }
    }

    /// Returns the load at this moment.
    pub fn load(&self) -> LoadReport {
        let unread = self.waiting.values().flatten();
        LoadReport {
            prefill_backlog_tokens: unread.map(|waiting| waiting.unread_tokens).sum(),
            active_streams: (self.streams.len() + self.waiting_for_batch()) as u32,
            kv_used: self.kv_tokens as f32 / self.costs.kv_tokens as f32,
        }
    }

    fn waiting_for_batch(&self) -> usize {
        let waiting = self.waiting.values().flatten();
        waiting.filter(|waiting| waiting.unread_tokens == 0).count()
    }

    /// Ends what has ended by `now`, appends what came of it and starts the
    /// next step.
    pub fn advance(&mut self, now: Timestamp, events: &mut Vec<EngineEvent>) {
        if let Some(step) = self.step
            && step.ends_at <= now
        {
            self.step = None;
            self.end_chunk(step, events);
            self.end_iterations(step, events);
        }
        if let Some(RoleChange::Away(role, until)) = self.change
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
        waiting.unread_tokens -= tokens.min(waiting.unread_tokens);
        let job = waiting.job;
        if waiting.unread_tokens > 0 {
            return;
        }
        self.cache.insert(job.prefix, events);
        match job.phase {
            JobPhase::PrefillOnly => {
                self.remove_waiting(id);
                self.kv_tokens -= job.prompt_tokens;
                events.push(EngineEvent::Prefilled { id });
            }
            JobPhase::Whole | JobPhase::DecodeOnly => {}
        }
    }

    fn end_iterations(&mut self, step: Step, events: &mut Vec<EngineEvent>) {
        for stream in &mut self.streams {
            if stream.generated == 0 && step.iterations > 0 {
                events.push(EngineEvent::FirstToken { id: stream.job.id });
            }
            stream.generated += step.iterations;
        }
        let mut freed = 0;
        self.streams.retain(|stream| {
            let done = stream.generated >= stream.job.output_tokens;
            if done {
                freed += stream.job.prompt_tokens + stream.job.output_tokens;
                events.push(EngineEvent::Completed { id: stream.job.id });
            }
            !done
        });
        self.kv_tokens -= freed;
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
                if !keep && waiting.started {
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
        self.kv_tokens -= freed;
    }

    fn continue_change(&mut self, now: Timestamp) {
        let idle = self.streams.is_empty() && self.waiting.values().all(VecDeque::is_empty);
        if let Some(RoleChange::Draining(role)) = self.change
            && idle
        {
            let until = now + self.costs.role_change;
            self.change = Some(RoleChange::Away(role, until));
        }
    }

    fn start_step(&mut self, now: Timestamp) {
        if self.step.is_some() || matches!(self.change, Some(RoleChange::Away(..))) {
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
            .step(chunk_tokens, self.streams.len(), iterations);
        self.busy += duration;
        self.step = Some(Step {
            ends_at: now + duration,
            chunk,
            iterations,
        });
    }

    /// Moves jobs whose prompts are read into the batch, while it has room.
    fn fill_batch(&mut self) {
        for queue in self.waiting.values_mut() {
            let mut index = 0;
            while index < queue.len() && self.streams.len() < self.costs.batch_limit {
                let waiting = &mut queue[index];
                let reserved = reserved_tokens(&waiting.job);
                let has_memory = self.kv_tokens + reserved <= self.costs.kv_tokens;
                match () {
                    () if waiting.unread_tokens > 0 => index += 1,
                    () if !waiting.started && !has_memory => return,
                    () => {
                        if !waiting.started {
                            self.kv_tokens += reserved;
                        }
                        let job = waiting.job;
                        queue.remove(index);
                        self.streams.push(ActiveStream { job, generated: 0 });
                    }
                }
            }
        }
    }

    /// Picks the prompt to read on: the first by priority that fits in memory.
    fn next_chunk(&mut self) -> Option<(u64, u64)> {
        let mut unread = self.waiting.values_mut().flatten();
        let waiting = unread.find(|waiting| waiting.unread_tokens > 0)?;
        if !waiting.started {
            let reserved = reserved_tokens(&waiting.job);
            if self.kv_tokens + reserved > self.costs.kv_tokens {
                return None;
            }
            self.kv_tokens += reserved;
            waiting.started = true;
            let cached = self.cache.cached_tokens(waiting.job.prefix);
            waiting.unread_tokens -= cached.min(waiting.unread_tokens - 1);
        }
        let limit = match self.streams.is_empty() {
            true => self.costs.chunk_tokens,
            false => self.costs.mixed_chunk_tokens,
        };
        Some((waiting.job.id, waiting.unread_tokens.min(limit)))
    }

    /// Returns how many tokens each stream generates in the next step.
    fn iterations(&self, reads: bool) -> u64 {
        let remaining = |stream: &ActiveStream| stream.job.output_tokens - stream.generated;
        let shortest = self.streams.iter().map(remaining).min().unwrap_or(0);
        match reads {
            true => shortest.min(1),
            false => shortest.min(self.costs.iterations_per_step),
        }
    }
}

/// Returns the KV memory that a job holds from its first chunk to its end.
fn reserved_tokens(job: &EngineJob) -> u64 {
    match job.phase {
        JobPhase::PrefillOnly => job.prompt_tokens,
        JobPhase::Whole | JobPhase::DecodeOnly => job.prompt_tokens + job.output_tokens,
    }
}
