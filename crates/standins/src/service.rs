//! A plain service behind HTTP.
