#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, from the libraries that the build of the deploy
# file has fetched.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
