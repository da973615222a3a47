#!/usr/bin/env bash
# The promotion service is down for 5 s while a primary crashes: are the tokens of the promotion calls in order?
cd "$(dirname "$0")/../.." || exit 2
trial=target/review/release/review_trial
[ -x "$trial" ] && [ -x target/release/cardamomhold_node ] || { echo "build first: see review/REPORT.md"; exit 2; }
exec "$trial" fence review/1/record.txt
