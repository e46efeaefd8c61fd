//! A model of one engine: batching, prefill, decode, KV memory, role changes.
