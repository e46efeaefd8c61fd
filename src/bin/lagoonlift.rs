//! Command `lagoonlift`.

fn main() {}
