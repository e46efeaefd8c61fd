//! Tells which of the blocks with evidence caused the crashes.

use super::CrashId;
use super::evidence::CrashFigures;
use crate::Timestamp;
use std::cmp::Reverse;
use std::time::Duration;

/// Crashes from which on a block that isn't on probation is considered at all.
pub(super) const MIN_CRASHES: usize = 2;

/// Crashes after which requests with a block may reach engines for some seconds only.
const CRASHES_TO_FIND_BLOCK: usize = 5;

/// Time after the last of [`CRASHES_TO_FIND_BLOCK`] for which an unclear case waits for
/// crashes or successes that clear it up.
const WAITING_TIME: Duration = Duration::from_secs(2);

/// Waiting time if another block may have caused the crashes that explains more of them,
/// some of which don't count yet.
const LONG_WAITING_TIME: Duration = Duration::from_millis(2_500);

/// The crashes after which a block is quarantined.
#[derive(Clone, Copy, Debug)]
struct BlameThreshold {
    crashes: usize,
    episodes: usize,
    /// Episodes that suffice after [`WAITING_TIME`].
    episodes_after_waiting: usize,
}

/// Threshold for a block that isn't known to have succeeded.
const NEW_BLOCK_THRESHOLD: BlameThreshold = BlameThreshold {
    crashes: CRASHES_TO_FIND_BLOCK,
    episodes: 3,
    episodes_after_waiting: 2,
};

/// Threshold for a block that succeeded before its crashes.
const SUCCEEDED_BLOCK_THRESHOLD: BlameThreshold = BlameThreshold {
    crashes: CRASHES_TO_FIND_BLOCK,
    episodes: 4,
    episodes_after_waiting: 3,
};

/// Threshold for a block with crashes at several services that has succeeded, at whichever.
/// Services that fail one soon after the other all have the blocks that their callers share.
const SUCCEEDED_BLOCK_OVER_SERVICES_THRESHOLD: BlameThreshold = BlameThreshold {
    crashes: CRASHES_TO_FIND_BLOCK,
    episodes: 4,
    episodes_after_waiting: 4,
};

/// A block with evidence, as a candidate for quarantine.
#[derive(Clone, Debug)]
pub(super) struct SuspectedBlock {
    pub(super) figures: CrashFigures,
    /// Whether it has succeeded at software that crashed with it.
    pub(super) has_succeeded: bool,
    /// Whether it has succeeded at any software.
    pub(super) has_succeeded_anywhere: bool,
    pub(super) is_on_probation: bool,
}

/// Returns the block that must have caused crashes; `None` if there is none, or if the
/// case is unclear and there is time to learn more: several blocks may have caused the
/// crashes, or upstreams crash without the block, too.
pub(super) fn find_cause(now: Timestamp, blocks: &[SuspectedBlock]) -> Option<&SuspectedBlock> {
    let candidates = blocks.iter().filter(|block| block.reaches_threshold(now));
    let first = candidates.max_by_key(|block| block.rank())?;
    let rivals = blocks.iter().filter(|block| block.is_rival_of(first));
    let best_coverage = rivals.map(SuspectedBlock::coverage).max();
    let is_decided = match best_coverage {
        _ if first.is_on_probation => true,
        None if first.figures.missed_episodes == 0 => true,
        Some(coverage) if coverage > first.coverage() => first.has_waited(now, LONG_WAITING_TIME),
        _ => first.has_waited(now, WAITING_TIME),
    };
    is_decided.then_some(first)
}

impl SuspectedBlock {
    fn reaches_threshold(&self, now: Timestamp) -> bool {
        let threshold = match self.has_succeeded_anywhere && self.figures.is_over_services {
            true => SUCCEEDED_BLOCK_OVER_SERVICES_THRESHOLD,
            false if self.has_succeeded => SUCCEEDED_BLOCK_THRESHOLD,
            false => NEW_BLOCK_THRESHOLD,
        };
        let min_episodes = match self.has_waited(now, WAITING_TIME) {
            true => threshold.episodes_after_waiting,
            false => threshold.episodes,
        };
        let crashes = self.figures.counted.len();
        match self.is_on_probation {
            true => crashes > 0,
            false => crashes >= threshold.crashes && self.figures.episodes >= min_episodes,
        }
    }

    /// Returns twice the crashes that the block explains, less the episodes that it
    /// doesn't explain. One crash is added for a block that isn't known to have succeeded.
    fn weight(&self) -> isize {
        let crashes = self.figures.counted.len() + usize::from(!self.has_succeeded);
        2 * crashes as isize - self.figures.missed_episodes as isize
    }

    /// Returns how much the block may explain: all its crashes and, of blocks with as many,
    /// the fewer episodes that it doesn't explain.
    fn coverage(&self) -> impl Ord + use<> {
        let figures = &self.figures;
        (figures.known.len(), Reverse(figures.missed_episodes))
    }

    /// Returns the rank among the candidates; the highest one is chosen. The key only
    /// makes the choice the same on all hosts.
    fn rank(&self) -> impl Ord + use<> {
        (
            self.is_on_probation,
            self.weight(),
            !self.has_succeeded,
            !self.has_succeeded_anywhere,
            self.figures.known.len(),
            self.figures.position,
            Reverse(self.figures.key),
        )
    }

    /// Returns whether this block may have caused the crashes that count for `other`. The
    /// other one is a bystander of some of them if it was on upstreams that crashed for
    /// other reasons besides.
    fn is_rival_of(&self, other: &Self) -> bool {
        let is_as_new = !self.has_succeeded || other.has_succeeded;
        let is_shared = |crash: &&CrashId| self.figures.known.contains(crash);
        let shared = other.figures.counted.iter().filter(is_shared).count();
        let has_half = shared * 2 >= other.figures.counted.len();
        self.figures.key != other.figures.key && is_as_new && has_half
    }

    fn has_waited(&self, now: Timestamp, time: Duration) -> bool {
        let learned_at = self.figures.learned_at.get(CRASHES_TO_FIND_BLOCK - 1);
        learned_at.is_some_and(|at| now.since(*at) >= time)
    }
}
