#!/bin/sh
# Builds the stand-ins and drivers of the cases in review/6 and later. It needs the build of
# deploy/system.toml for the gateways, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/main.rs
