//! A simulated engine: batching, prefill, decode, KV memory and role changes.
//!
//! The experiments compare policies by their effect on engines. A run of ten
//! minutes on a whole fleet must take seconds and be reproducible, so the model
//! has no clock: its caller passes the virtual time in and asks when the current
//! step ends. One [`EngineModel`] simulates one engine.
//!
//! An engine works in steps. A step prefills at most one chunk of one waiting
//! prompt and generates one token, or a few, for every active stream. A step that
//! does both takes longer than a prefill step and a decode step together, which is
//! why engines have separate roles.

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

/// A job that isn't in the decode batch yet.
#[derive(Clone, Copy, Debug)]
struct WaitingJob {
    job: EngineJob,
    remaining_prompt_tokens: u64,
    /// Whether the job's prefill has started, which reserves its KV memory.
    is_started: bool,
}

/// A job in the decode batch.
#[derive(Clone, Copy, Debug)]
struct ActiveStream {
    job: EngineJob,
    generated_tokens: u64,
}

/// The step in progress.
#[derive(Clone, Copy, Debug)]
struct Step {
    ends_at: Timestamp,
    /// Job whose prompt is being prefilled, and the number of prompt tokens.
    chunk: Option<(u64, u64)>,
    /// Number of tokens generated for each stream.
    iterations: u64,
}

/// A role change in progress.
#[derive(Clone, Copy, Debug)]
enum RoleChange {
    /// The engine finishes its current jobs before it changes to the role.
    Draining(UpstreamRole),
    /// The engine is changing to the role until the given time.
    Switching(UpstreamRole, Timestamp),
}

/// One engine in virtual time.
#[derive(Debug)]
pub struct EngineModel {
    costs: EngineCosts,
    role: UpstreamRole,
    change: Option<RoleChange>,
    /// Waiting jobs by priority, in order of arrival.
    waiting: BTreeMap<u8, VecDeque<WaitingJob>>,
    streams: Vec<ActiveStream>,
    /// Jobs to remove at the end of the current step.
    cancelled: BTreeSet<u64>,
    cache: PrefixCache,
    /// KV memory reserved for jobs, in tokens.
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

    /// Returns the current role; during a role change, the previous one.
    pub fn role(&self) -> UpstreamRole {
        self.role
    }

    /// Returns whether the engine accepts jobs; it doesn't during a role change.
    pub fn is_serving(&self) -> bool {
        self.change.is_none()
    }

    /// Returns the total duration of all steps started so far.
    pub fn busy_time(&self) -> Duration {
        self.busy_time
    }

    /// Queues a job and starts a step if the engine is idle.
    ///
    /// # Errors
    ///
    /// Fails when the engine's queue is full, when its role doesn't execute this
    /// phase, or during a role change. No part of the job has run in these cases.
    pub fn submit(&mut self, now: Timestamp, job: EngineJob) -> Result<(), JobRefusal> {
        let is_allowed = match (self.role, job.phase) {
            (UpstreamRole::Prefill, JobPhase::PrefillOnly) => true,
            (UpstreamRole::Prefill, _) => false,
            (UpstreamRole::Decode | UpstreamRole::Mixed, _) => true,
        };
        let queued: usize = self.waiting.values().map(VecDeque::len).sum();
        match () {
            () if !is_allowed || self.change.is_some() => return Err(JobRefusal::WrongRole),
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
            is_started: false,
        });
        self.start_step(now);
        Ok(())
    }

    /// Cancels a job. The job is removed when the current step ends.
    pub fn cancel(&mut self, id: u64) {
        self.cancelled.insert(id);
    }

    /// Drops all jobs and the prefix cache, as a crash does, and returns the
    /// identifiers of the lost jobs.
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

    /// Starts a role change: the engine finishes its current jobs first.
    pub fn change_role(&mut self, now: Timestamp, role: UpstreamRole) {
        self.change = Some(RoleChange::Draining(role));
        self.continue_change(now);
    }

    /// Sets the role at once and at no cost.
    ///
    /// A real engine can't do this. The oracle contender of the experiments uses it to
    /// compute a bound that other policies are compared with.
    pub fn set_role(&mut self, role: UpstreamRole) {
        self.role = role;
    }

    /// Removes all jobs and returns them with their progress, so that other engines
    /// can resume them.
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

    /// Resumes a job that was removed from another engine.
    pub fn resume_job(&mut self, now: Timestamp, progress: JobProgress) {
        let job = progress.job;
        match progress.generated_tokens {
            0 => {
                let queue = self.waiting.entry(job.priority).or_default();
                queue.push_back(WaitingJob {
                    job,
                    remaining_prompt_tokens: progress.remaining_prompt_tokens,
                    is_started: false,
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

    /// Returns the time at which the model must be advanced next, or `None` if it is
    /// idle.
    pub fn next_event(&self) -> Option<Timestamp> {
        match self.change {
            Some(RoleChange::Switching(_, until)) => Some(until),
            _ => self.step.map(|step| step.ends_at),
        }
    }

    /// Returns the current load.
    pub fn load(&self) -> LoadReport {
        let waiting_jobs = self.waiting.values().flatten();
        LoadReport {
            prefill_backlog_tokens: waiting_jobs
                .map(|waiting| waiting.remaining_prompt_tokens)
                .sum(),
            active_streams: (self.streams.len() + self.ready_job_count()) as u32,
            kv_used: self.reserved_kv_tokens as f32 / self.costs.kv_capacity_tokens as f32,
        }
    }

    /// Returns the number of waiting jobs that are ready to decode.
    fn ready_job_count(&self) -> usize {
        let waiting = self.waiting.values().flatten();
        waiting
            .filter(|waiting| waiting.remaining_prompt_tokens == 0)
            .count()
    }
}

/// Returns the KV memory, in tokens, that a job reserves from its first chunk until
/// it ends.
fn reserved_tokens(job: &EngineJob) -> u64 {
    match job.phase {
        JobPhase::PrefillOnly => job.prompt_tokens,
        JobPhase::PrefillDecode | JobPhase::DecodeOnly => job.prompt_tokens + job.output_tokens,
    }
}
