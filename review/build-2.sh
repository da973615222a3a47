#!/bin/sh
# Builds the stand-ins of the cases 6 to 9, without a network. The instances are built by the deploy
# file's build line.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
