#!/bin/sh
# Starts the same plan several times and ends it soon after: no start may meet an address that is still bound by
# the process it has just forked.
#   faulttest_starts.sh REEDSPINDLE-FAULTTEST REEDSPINDLE PLAN
set -u
log=$(mktemp)
trap 'rm -f "$log"' EXIT
for run in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15; do
  timeout -s INT 0.6 "$1" run --program "$2" "$3" > "$log" 2>&1
  if grep 'bind:' "$log"; then
    echo "run $run"
    exit 1
  fi
done
