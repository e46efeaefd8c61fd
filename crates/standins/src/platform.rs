//! The platform: object API, usage, ordering, weights, host list.
