//! Metrics of a steward.

use opentelemetry::metrics::{Counter, Meter};

/// Counters of one steward process.
#[derive(Clone, Debug)]
pub(crate) struct StewardCounters {
    pub(crate) leases_gained: Counter<u64>,
    pub(crate) leases_ended: Counter<u64>,
    pub(crate) orders_sent: Counter<u64>,
    pub(crate) upstream_orders: Counter<u64>,
    pub(crate) usage_reports: Counter<u64>,
    pub(crate) usage_reports_late: Counter<u64>,
    pub(crate) usage_windows_moved: Counter<u64>,
}

impl StewardCounters {
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, text: &'static str| {
            let counter = meter.u64_counter(name).with_description(text).build();
            // Exports the counter as zero from the start, so that a missing
            // counter is distinguishable from one that never increased.
            counter.add(0, &[]);
            counter
        };
        Self {
            leases_gained: counter(
                "lagoonlift_steward_leases_gained",
                "Times the lease was gained",
            ),
            leases_ended: counter(
                "lagoonlift_steward_leases_ended",
                "Times the lease was lost or given up",
            ),
            orders_sent: counter(
                "lagoonlift_steward_orders_sent",
                "Orders sent to engines, repeats included",
            ),
            upstream_orders: counter(
                "lagoonlift_steward_upstream_orders",
                "Orders for upstreams sent to the platform, repeats included",
            ),
            usage_reports: counter("lagoonlift_steward_usage_reports", "Usage reports accepted"),
            usage_reports_late: counter(
                "lagoonlift_steward_usage_reports_late",
                "Usage reports accepted more than two windows after their window",
            ),
            usage_windows_moved: counter(
                "lagoonlift_steward_usage_windows_moved",
                "Closed windows of processes that came too late for their own seal",
            ),
        }
    }
}
