#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
program=../standins/target/release/case_memory
[ -x "$program" ] && [ -x ../../target/release/nickelshed ] || { echo "not built: run the deploy file's build, then review/build.sh"; exit 2; }
exec "$program" "$PWD/record.txt"
