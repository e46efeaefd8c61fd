//! Limits the bytes that a host holds in memory for callers that read slowly and for
//! requests that wait for upstreams.
//!
//! A host reads a response on while its caller is slow, since upstreams cut off responses
//! that stay unread. What it holds meanwhile is limited for each caller and for the whole
//! host. At the host's limit, responses are cut:
//!
//! 1. those whose caller has read nothing for [`STALL_TIME`], the longest pause first;
//! 2. the others by urgency, the least urgent first, and within an urgency by the speed at
//!    which the caller reads, the slowest first. Of equally slow ones, resumable streams come
//!    first, since their callers can resume them.
//!
//! Nothing is cut if that wouldn't make enough room.

use crate::Timestamp;
use std::cmp::Reverse;
use std::time::Duration;

/// Time without any read after which a caller counts as stalled. Callers on slow links
/// pause for a second or two while a window of packets is lost and sent again.
pub const STALL_TIME: Duration = Duration::from_secs(5);

const MEBIBYTE: u64 = 1024 * 1024;

/// Memory that the process needs with its tables, but without callers.
const PROCESS_BYTES: u64 = 48 * MEBIBYTE;

/// Share of the remaining memory that is held for callers. The rest is for the buffers of
/// connections, in the process and in the kernel: about 70 KiB for a slow caller.
const HELD_SHARE: u64 = 3;

/// Least limit of a host. Less would cut callers that read at their usual speed.
const MIN_HOST_BYTES: u64 = 8 * MEBIBYTE;

/// Share of the host's limit that one stream may hold.
const CALLER_SHARE: u64 = 8;

/// Part of the host's limit that is free after a cut, so that the next bytes cause no
/// other one at once.
const FREE_SHARE: u64 = 20;

/// Length of the windows over which a caller's speed is measured.
const SPEED_WINDOW: Duration = Duration::from_secs(2);

/// Time after which a caller's speed is known. A response that has just begun isn't slow.
const MIN_SPEED_TIME: Duration = Duration::from_millis(500);

/// Identifies a request of a caller on its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeldKey(pub u64);

/// Limits of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLimits {
    /// Limit for all callers together, in bytes.
    pub host_bytes: u64,
    /// Limit for the stream of one caller, in bytes. Whole responses have a limit of their
    /// own.
    pub caller_bytes: u64,
}

impl HeldLimits {
    /// Returns the limits of a host with this memory.
    pub fn for_memory(memory_bytes: u64) -> Self {
        let available = memory_bytes.saturating_sub(PROCESS_BYTES) / HELD_SHARE;
        let host_bytes = available.max(MIN_HOST_BYTES);
        Self {
            host_bytes,
            caller_bytes: host_bytes / CALLER_SHARE,
        }
    }

    /// Returns whether more of a stream may be read for a caller for whom `held_bytes`
    /// bytes are held.
    pub fn may_read_on(self, held_bytes: u64) -> bool {
        held_bytes < self.caller_bytes
    }

    /// Returns whether a host that holds `held_bytes` bytes has room for them.
    pub fn has_room(self, held_bytes: u64) -> bool {
        held_bytes <= self.host_bytes
    }
}

/// How fast a caller reads while something is held for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadProgress {
    began_at: Timestamp,
    last_read_at: Timestamp,
    window_start: Timestamp,
    window_bytes: u64,
    previous_bytes: Option<u64>,
}

impl ReadProgress {
    /// Creates the progress of a caller for whom bytes are held from `now` on.
    pub fn new(now: Timestamp) -> Self {
        Self {
            began_at: now,
            last_read_at: now,
            window_start: now,
            window_bytes: 0,
            previous_bytes: None,
        }
    }

    /// Records that the caller's connection took bytes.
    pub fn record(&mut self, now: Timestamp, bytes: u64) {
        let windows = now.since(self.window_start).as_nanos() / SPEED_WINDOW.as_nanos();
        if windows > 0 {
            self.previous_bytes = Some(match windows {
                1 => self.window_bytes,
                _ => 0,
            });
            self.window_bytes = 0;
            self.window_start = self.window_start + SPEED_WINDOW * windows as u32;
        }
        self.window_bytes += bytes;
        self.last_read_at = now;
    }

    /// Returns the time since the caller last read something.
    pub fn idle_time(&self, now: Timestamp) -> Duration {
        now.since(self.last_read_at)
    }

    /// Returns the speed of the caller in bytes a second, or `None` if it isn't known yet.
    pub fn bytes_per_s(&self, now: Timestamp) -> Option<u64> {
        if now.since(self.began_at) < MIN_SPEED_TIME {
            return None;
        }
        let (bytes, time) = match self.previous_bytes {
            Some(previous) => (
                previous + self.window_bytes,
                now.since(self.window_start) + SPEED_WINDOW,
            ),
            None => (self.window_bytes, now.since(self.window_start)),
        };
        Some((bytes as f64 / time.as_secs_f64()) as u64)
    }
}

/// A response that is being sent to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldResponse {
    /// The request.
    pub key: HeldKey,
    /// Bytes that are held for it.
    pub bytes: u64,
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Whether it is a stream that the caller can resume.
    pub is_resumable: bool,
    /// Time of the request's arrival.
    pub arrived: Timestamp,
    /// How fast the caller reads.
    pub progress: ReadProgress,
}

/// Rule by which a response was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutRule {
    /// Its caller read nothing for [`STALL_TIME`].
    Stalled,
    /// It was the slowest of the least urgent responses.
    LeastUrgentAndSlowest,
}

impl CutRule {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::LeastUrgentAndSlowest => "least-urgent-and-slowest",
        }
    }
}

/// A response that has to be cut, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldCut {
    /// The request.
    pub key: HeldKey,
    /// Bytes that were held for it.
    pub bytes: u64,
    /// Time since the request's arrival.
    pub age: Duration,
    /// Time since the caller last read something.
    pub idle_time: Duration,
    /// The rule that chose it.
    pub rule: CutRule,
}

/// Chooses the responses to cut on a host that holds `held_bytes` bytes in total, in the
/// order in which they are cut. `responses` are the ones that may be cut.
pub fn choose_cuts(
    now: Timestamp,
    limits: HeldLimits,
    held_bytes: u64,
    responses: &[HeldResponse],
) -> Vec<HeldCut> {
    let removable: u64 = responses.iter().map(|response| response.bytes).sum();
    let is_enough = limits.has_room(held_bytes.saturating_sub(removable));
    if limits.has_room(held_bytes) || !is_enough {
        return Vec::new();
    }
    let mut candidates: Vec<&HeldResponse> = responses
        .iter()
        .filter(|response| response.bytes > 0)
        .collect();
    candidates.sort_by_cached_key(|response| cut_order(now, response));
    let target = limits.host_bytes - limits.host_bytes / FREE_SHARE;
    let mut held_bytes = held_bytes;
    let mut cuts = Vec::new();
    for response in candidates {
        if held_bytes <= target {
            break;
        }
        held_bytes = held_bytes.saturating_sub(response.bytes);
        cuts.push(HeldCut {
            key: response.key,
            bytes: response.bytes,
            age: now.since(response.arrived),
            idle_time: response.progress.idle_time(now),
            rule: rule_for(now, response),
        });
    }
    cuts
}

fn rule_for(now: Timestamp, response: &HeldResponse) -> CutRule {
    match response.progress.idle_time(now) >= STALL_TIME {
        true => CutRule::Stalled,
        false => CutRule::LeastUrgentAndSlowest,
    }
}

/// Position of a response in the order of cuts; the least is cut first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CutOrder {
    Stalled(Reverse<Duration>, Reverse<u8>, HeldKey),
    Slow(Reverse<u8>, u32, Reverse<bool>, Reverse<u64>, HeldKey),
}

fn cut_order(now: Timestamp, response: &HeldResponse) -> CutOrder {
    let urgency = Reverse(response.urgency);
    match rule_for(now, response) {
        CutRule::Stalled => {
            let idle_time = response.progress.idle_time(now);
            CutOrder::Stalled(Reverse(idle_time), urgency, response.key)
        }
        CutRule::LeastUrgentAndSlowest => CutOrder::Slow(
            urgency,
            speed_band(response.progress.bytes_per_s(now)),
            Reverse(response.is_resumable),
            Reverse(response.bytes),
            response.key,
        ),
    }
}

/// Returns the band of a speed. Speeds within a factor of two are equal, since they vary by
/// as much from one window to the next. An unknown speed counts as the highest.
fn speed_band(bytes_per_s: Option<u64>) -> u32 {
    match bytes_per_s {
        Some(0) => 0,
        Some(speed) => speed.ilog2() + 1,
        None => u32::MAX,
    }
}
