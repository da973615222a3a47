#!/usr/bin/env bash
# Builds the stand-ins of the scripts; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml
