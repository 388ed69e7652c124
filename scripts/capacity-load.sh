#!/usr/bin/env bash
# Measures the traffic between entry processes under the mean load of the site
# of today, in separate processes on loopback. Prints rates for each process.
#
#   capacity-load.sh MEMBERS
#
# PORTS is the base number of the ports.
set -euo pipefail
MEMBERS=$1
PORTS=${PORTS:-7400}
SITE_NAME=wa-south
source "$(dirname "$0")/lib.sh"
trap stop_all EXIT
printf %s "$TOKEN" >"$RUN/token"
chmod 600 "$RUN/token"
ZONES=(wa-south-a wa-south-b wa-south-c)
# Length of the measurement and time before it in which the load settles, in seconds.
LENGTH=10
SETTLE=2

write_services() {
  echo "services:"
  local pool
  for pool in counterdesk stockroom webshop stalltill; do
    echo "  - {name: $pool, path_prefix: /$pool/, pool: $pool, timeout: 2s, availability_target: 0.999}"
  done
}

# sample: the counters of all entry processes, summed, and the time.
sample() {
  local n
  for n in $(seq "$MEMBERS"); do
    curl -fsS "http://$(metrics_of "$n")/metrics" | grep -E '^(peridotcrank_control|process_cpu_seconds_total)'
  done | awk '{v[$1]+=$2} END {for (k in v) printf "%s %.3f\n", k, v[k]}' | sort
  echo "time $(date +%s.%N)"
}

has_members() { [ "$(operator 1 member list | grep -c 'entry-')" -ge "$MEMBERS" ]; }

start backend "$BIN/testbed" backend --site quokka --base-port "$BASE_PORT" --control "$CONTROL"
start platform "$BIN/testbed" platform --site quokka --base-port "$BASE_PORT" --listen "$PLATFORM" --control "$CONTROL"
wait_for 10 curl -fsS "http://$PLATFORM/v1/vms"
entries=()
for n in $(seq "$MEMBERS"); do
  start_entry "$n" "${ZONES[$(((n - 1) % 3))]}"
  entries+=(--entry "$(callers_of "$n")")
done
for n in $(seq "$MEMBERS"); do wait_for 20 curl -s "http://$(admin_of "$n")/v1/members"; done
wait_for 30 has_members
alive platform
for n in $(seq "$MEMBERS"); do alive "entry-$n"; done
write_services >"$RUN/services.yaml"
operator 1 config set "$RUN/services.yaml" >"$RUN/set.log"
for n in $(seq "$MEMBERS"); do wait_for 30 ready "$n"; done
start load "$BIN/testbed" load --site quokka --length $((SETTLE + LENGTH + 2))s "${entries[@]}"
sleep "$SETTLE"
sample >"$RUN/from"
sleep "$LENGTH"
sample >"$RUN/to"
awk -v members="$MEMBERS" 'FNR==NR {from[$1]=$2; next} {to[$1]=$2}
  END {for (k in to) if (k != "time") printf "%s %.1f a second\n", k, (to[k]-from[k])/(to["time"]-from["time"])/members}' "$RUN/from" "$RUN/to" | sort
