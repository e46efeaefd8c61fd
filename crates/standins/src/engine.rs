//! A model engine behind HTTP.
