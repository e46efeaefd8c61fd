//! Counts calls to the platform, so that tests can check that its call budget is
//! kept.

/// Number of calls to each of the platform's interfaces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of single objects and listings of objects.
    pub reads: u64,
    /// Conditional writes and deletions, including refused ones.
    pub writes: u64,
    /// Watches, each counted once when it starts.
    pub watches: u64,
    /// Usage reports.
    pub usage_reports: u64,
    /// Upstream orders.
    pub upstream_orders: u64,
    /// Reads of the fleet list.
    pub fleet_lists: u64,
    /// Requests for permission to read model weights.
    pub weight_requests: u64,
}

impl CallCounts {
    /// Returns the number of calls that count against the object API's read budget.
    pub fn object_reads(&self) -> u64 {
        self.reads + self.watches
    }

    /// Returns the total number of calls.
    pub fn total(&self) -> u64 {
        let services = self.usage_reports + self.upstream_orders;
        self.object_reads() + self.writes + services + self.fleet_lists + self.weight_requests
    }
}
