#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
program=../standins-2/target/release/review-case
[ -x "$program" ] && [ -x ../../target/release/nickelshed ] || { echo "build first: deploy/balancer.toml, review/build-2.sh"; exit 2; }
# At the end of its time it ends the program and all processes that it started.
timeout -k 2 112 "$program" 10 record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
