#!/bin/sh
# Builds the stand-ins and the driver of the cases 11 to 15. Needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/rig-3/Cargo.toml --target-dir target/review-3
