#!/usr/bin/env bash
# Each instance is replaced once, then comes a final fault: are callers served again?
cd "$(dirname "$0")/../.." || exit 2
trial=target/review/release/review_trial
[ -x "$trial" ] && [ -x target/release/cardamomhold_node ] || { echo "build first: see review/REPORT.md"; exit 2; }
exec "$trial" replaced review/5/record.txt
