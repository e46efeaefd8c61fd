//! Counts calls, because the platform's budget is a promise to be measured.

/// How often each of the platform's interfaces was called.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Objects read and lists of objects.
    pub reads: u64,
    /// Conditional writes and deletions, refused ones included.
    pub writes: u64,
    /// Watches, each counted once when it began to wait.
    pub watches: u64,
    /// Usage reports.
    pub usage_reports: u64,
    /// Orders for upstreams.
    pub upstream_orders: u64,
    /// Reads of the fleet list.
    pub fleet_lists: u64,
    /// Requests to read weights.
    pub weight_requests: u64,
}

impl CallCounts {
    /// Returns the calls that count against the read budget of the object API.
    pub fn object_reads(&self) -> u64 {
        self.reads + self.watches
    }

    /// Returns all calls.
    pub fn total(&self) -> u64 {
        let services = self.usage_reports + self.upstream_orders;
        self.object_reads() + self.writes + services + self.fleet_lists + self.weight_requests
    }
}
