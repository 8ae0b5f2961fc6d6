#!/bin/sh
# Builds the stand-in program of the review's scripts: store, runners, clients and operator.
# It uses the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
