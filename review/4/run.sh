#!/usr/bin/env bash
# The open connections to the store go silent: is a later configuration in force in time?
cd "$(dirname "$0")/../.." || exit 2
trial=target/review/release/review_trial
[ -x "$trial" ] && [ -x target/release/cardamomhold_node ] || { echo "build first: see review/REPORT.md"; exit 2; }
exec "$trial" config review/4/record.txt
