//! The protocol spoken with callers.
