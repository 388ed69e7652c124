#!/usr/bin/env bash
# Runs separate processes on loopback under injected faults, with live callers.
# Each case starts new processes, has its own seed and ends with testbed verify.
# Prints one row per case and exits non-zero when a case failed.
#
#   matrix.sh [CASE...]   runs the named cases; without names, all of them
#   PORTS=26000           first port of the run
#   MATRIX_RUN=DIR        keeps logs and reports of the cases below DIR
set -uo pipefail
HERE=$(cd "$(dirname "$0")" && pwd)
MATRIX_RUN=${MATRIX_RUN:-$(mktemp -d)}
mkdir -p "$MATRIX_RUN"
ROWS="$MATRIX_RUN/rows"
: >"$ROWS"
RUN="$MATRIX_RUN"
SITE=quokka
SITE_NAME=wa-south
source "$HERE/lib.sh"
source "$HERE/matrix_steps.sh"
source "$HERE/matrix_cases.sh"

# run_case NAME SEED FUNCTION ARGS...: runs a case in a subshell of its own.
run_case() {
  local name=$1
  SEED=$2
  shift 2
  RUN="$MATRIX_RUN/$name"
  mkdir -p "$RUN"
  echo "== $name, seed $SEED, load average $(cut -d' ' -f1-3 /proc/loadavg) on $(nproc) cores"
  (
    STARTED=()
    trap stop_all_processes EXIT
    : >"$RUN/failures"
    "$@" || record_failure "a step of the case failed before its end"
    stop_all_processes
    append_result_row "$name"
    [ ! -s "$RUN/failures" ]
  )
}

passed=0
failed=0
for entry in "${CASES[@]}"; do
  read -r name seed function arguments <<<"$entry"
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  # shellcheck disable=SC2086 # The arguments of a case are separate words.
  if run_case "$name" "$seed" "$function" $arguments; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done

echo
echo "== rows; times without an answered request are in seconds, logs are in $MATRIX_RUN"
column -t -s '|' "$ROWS"
if [ $((passed + failed)) -eq 0 ]; then
  echo "no case is named $*" >&2
  failed=1
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
