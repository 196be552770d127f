#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs no network: the packages are those of the project.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
