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
mod jobs;
mod steps;

pub use cache::PrefixCache;
pub use costs::EngineCosts;
pub use feeds::{CacheFeed, DelayedFeed};
pub use jobs::{EngineEvent, EngineJob, JobPhase, JobProgress, JobRefusal};

use lagoonlift_policy::{LoadReport, Timestamp};
use lagoonlift_types::UpstreamRole;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct WaitingJob {
    job: EngineJob,
    remaining_prompt_tokens: u64,
    started: bool,
}

#[derive(Clone, Copy, Debug)]
struct ActiveStream {
    job: EngineJob,
    generated_tokens: u64,
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
    reserved_kv_tokens: u64,
    step: Option<Step>,
    busy_time: Duration,
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
            cache: PrefixCache::new(costs.cache_capacity_tokens),
            reserved_kv_tokens: 0,
            step: None,
            busy_time: Duration::ZERO,
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
    pub fn busy_time(&self) -> Duration {
        self.busy_time
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
        let remaining_prompt_tokens = match job.phase {
            JobPhase::DecodeOnly => 0,
            JobPhase::PrefillDecode | JobPhase::PrefillOnly => job.prompt_tokens,
        };
        let queue = self.waiting.entry(job.priority).or_default();
        queue.push_back(WaitingJob {
            job,
            remaining_prompt_tokens,
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
        self.reserved_kv_tokens = 0;
        self.step = None;
        self.change = None;
        self.cache = PrefixCache::new(self.costs.cache_capacity_tokens);
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
            remaining_prompt_tokens: waiting.remaining_prompt_tokens,
            generated_tokens: 0,
        });
        let streams = std::mem::take(&mut self.streams);
        let streams = streams.into_iter().map(|stream| JobProgress {
            job: stream.job,
            remaining_prompt_tokens: 0,
            generated_tokens: stream.generated_tokens,
        });
        self.reserved_kv_tokens = 0;
        waiting.chain(streams).collect()
    }

    /// Continues work that was taken from another engine.
    pub fn resume_job(&mut self, now: Timestamp, progress: JobProgress) {
        let job = progress.job;
        match progress.generated_tokens {
            0 => {
                let queue = self.waiting.entry(job.priority).or_default();
                queue.push_back(WaitingJob {
                    job,
                    remaining_prompt_tokens: progress.remaining_prompt_tokens,
                    started: false,
                });
            }
            generated_tokens => {
                self.reserved_kv_tokens += reserved_tokens(&job);
                self.streams.push(ActiveStream {
                    job,
                    generated_tokens,
                });
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
            prefill_backlog_tokens: unread.map(|waiting| waiting.remaining_prompt_tokens).sum(),
            active_streams: (self.streams.len() + self.waiting_for_batch()) as u32,
            kv_used: self.reserved_kv_tokens as f32 / self.costs.kv_capacity_tokens as f32,
        }
    }

    fn waiting_for_batch(&self) -> usize {
        let waiting = self.waiting.values().flatten();
        waiting
            .filter(|waiting| waiting.remaining_prompt_tokens == 0)
            .count()
    }
}

/// Returns the KV memory that a job holds from its first chunk to its end.
fn reserved_tokens(job: &EngineJob) -> u64 {
    match job.phase {
        JobPhase::PrefillOnly => job.prompt_tokens,
        JobPhase::PrefillDecode | JobPhase::DecodeOnly => job.prompt_tokens + job.output_tokens,
    }
}
