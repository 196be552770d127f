#!/bin/sh
# Builds the drivers of the cases of the third review, with the project's own stand-in that they use. No network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
