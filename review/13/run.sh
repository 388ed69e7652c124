#!/bin/bash
# Runs the case, without the disruption if TROUBLE is 0. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/peridotcrank ] && [ -x review/bin/cases-3 ] || { echo "not built"; exit 2; }
TROUBLE="${TROUBLE:-1}" review/bin/cases-3 schedule review/13/record.txt &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT EXIT
wait "$child"
code=$?
trap - EXIT
[ "$code" -le 2 ] || code=2
exit "$code"
