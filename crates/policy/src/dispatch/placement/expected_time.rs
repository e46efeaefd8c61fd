//! Chooses among upstreams of different speeds by the expected time to the first event.
//!
//! What a host knows of the others is up to 100 ms old. If all hosts sent to the upstream that
//! seems fastest, it would be flooded before they notice. Each therefore draws two upstreams,
//! faster ones more often, and sends to the better one of them.

use crate::UpstreamKey;
use std::hash::{DefaultHasher, Hash, Hasher};

/// An upstream and what is expected of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimedCandidate {
    pub(super) key: UpstreamKey,
    /// Expected time to the first event. All candidates have the same unit.
    pub(super) time: f64,
    /// Time for a unit of work, as a multiple of the mean.
    pub(super) slowness: f64,
}

/// Returns the better one of two upstreams that are drawn by their speeds. `draw` is a random
/// number from 0 to 1.
pub(super) fn better_of_two(candidates: &[TimedCandidate], draw: f64) -> Option<UpstreamKey> {
    let first = draw_by_speed(candidates, draw)?;
    let second = draw_by_speed(candidates, second_draw(draw))?;
    let better = if second.time < first.time {
        second
    } else {
        first
    };
    Some(better.key)
}

fn draw_by_speed(candidates: &[TimedCandidate], draw: f64) -> Option<TimedCandidate> {
    let speeds = candidates.iter().map(|one| 1.0 / one.slowness);
    let mut left = draw * speeds.sum::<f64>();
    let drawn = candidates.iter().find(|one| {
        left -= 1.0 / one.slowness;
        left < 0.0
    });
    drawn.or(candidates.last()).copied()
}

/// Returns a random number from 0 to 1 that is independent of `draw` for all purposes here.
fn second_draw(draw: f64) -> f64 {
    let mut hasher = DefaultHasher::new();
    draw.to_bits().hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64
}
