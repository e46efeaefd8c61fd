//! Command `lagoonlift-entry`.

fn main() {}
