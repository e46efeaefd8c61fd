#!/bin/sh
# Builds the stand-in that the scripts of the cases 11 to 15 start.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml \
    --target-dir target/review-3
