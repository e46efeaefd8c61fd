//! What a steward counts.

use opentelemetry::metrics::{Counter, Meter};

/// The steward's counters.
#[derive(Clone, Debug)]
pub(crate) struct StewardCounters {
    pub(crate) leases_gained: Counter<u64>,
    pub(crate) leases_ended: Counter<u64>,
    pub(crate) orders_sent: Counter<u64>,
}

impl StewardCounters {
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Self {
            leases_gained: counter("steward_leases_gained", "Times the lease was gained"),
            leases_ended: counter(
                "steward_leases_ended",
                "Times the lease was lost or given up",
            ),
            orders_sent: counter(
                "steward_orders_sent",
                "Orders sent to engines, repeats included",
            ),
        }
    }
}
