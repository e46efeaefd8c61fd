//! Command `lagoonlift-steward`.

fn main() {}
