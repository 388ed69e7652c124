#!/usr/bin/env bash
# Measures the traffic between entry processes under the mean load of an existing site,
# in separate processes on loopback. Prints the mean rates per process.
#
#   capacity-load.sh MEMBERS
#
# PORTS is the first port of the run.
set -euo pipefail
MEMBERS=$1
PORTS=${PORTS:-7400}
SITE_NAME=wa-south
source "$(dirname "$0")/lib.sh"
trap stop_all_processes EXIT
printf %s "$TOKEN" >"$RUN/token"
chmod 600 "$RUN/token"
ZONES=(wa-south-a wa-south-b wa-south-c)
# Length of the measurement, and the time before it until the load is steady, in seconds.
LENGTH=10
SETTLE=2

print_services() {
  echo "services:"
  local pool
  for pool in counterdesk stockroom webshop stalltill; do
    echo "  - {name: $pool, path_prefix: /$pool/, pool: $pool, timeout: 2s, availability_target: 0.999}"
  done
}

# print_metrics_sample: prints the sums of the counters over all entry processes, and the time.
print_metrics_sample() {
  local n
  for n in $(seq "$MEMBERS"); do
    curl -fsS "http://$(metrics_address "$n")/metrics" | grep -E '^(peridotcrank_control|process_cpu_seconds_total)'
  done | awk '{v[$1]+=$2} END {for (k in v) printf "%s %.3f\n", k, v[k]}' | sort
  echo "time $(date +%s.%N)"
}

lists_all_members() { [ "$(run_operator 1 member list | grep -c 'entry-')" -ge "$MEMBERS" ]; }

start_process backend "$BIN/testbed" backend --site quokka --base-port "$BASE_PORT" --control "$CONTROL"
start_process platform "$BIN/testbed" platform --site quokka --base-port "$BASE_PORT" --listen "$PLATFORM" --control "$CONTROL"
wait_for 10 curl -fsS "http://$PLATFORM/v1/vms"
entries=()
for n in $(seq "$MEMBERS"); do
  start_entry "$n" "${ZONES[$(((n - 1) % 3))]}"
  entries+=(--entry "$(callers_address "$n")")
done
for n in $(seq "$MEMBERS"); do wait_for 20 curl -s "http://$(admin_address "$n")/v1/members"; done
wait_for 30 lists_all_members
require_running platform
for n in $(seq "$MEMBERS"); do require_running "entry-$n"; done
print_services >"$RUN/services.yaml"
run_operator 1 config set "$RUN/services.yaml" >"$RUN/set.log"
for n in $(seq "$MEMBERS"); do wait_for 30 is_ready "$n"; done
start_process load "$BIN/testbed" load --site quokka --length $((SETTLE + LENGTH + 2))s "${entries[@]}"
sleep "$SETTLE"
print_metrics_sample >"$RUN/from"
sleep "$LENGTH"
print_metrics_sample >"$RUN/to"
awk -v members="$MEMBERS" 'FNR==NR {from[$1]=$2; next} {to[$1]=$2}
  END {for (k in to) if (k != "time") printf "%s %.1f a second\n", k, (to[k]-from[k])/(to["time"]-from["time"])/members}' "$RUN/from" "$RUN/to" | sort
