#!/bin/sh
# Builds the stand-ins of the second review, without a network. The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
