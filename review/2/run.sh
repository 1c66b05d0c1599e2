#!/bin/sh
# Runs case 2 after the deploy file's `build` and review/build.sh. Exit codes: 1 the rule was broken, 0 it held, 2 the
# case couldn't run. TROUBLE=0: the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
program=$folder/../bin/case2
[ -x "$program" ] || { echo "review/build.sh has not been run" >&2; exit 2; }
exec "$program" "$folder"
