#!/usr/bin/env bash
# Measures entry processes at one size, first idle and then during configuration changes,
# in separate processes on loopback. Prints lines in the format of Go benchmarks.
#
#   capacity.sh WORKERS MEMBERS
#
# IDLE is the length of the idle phase in seconds, CHANGES the number of
# configuration changes, one a second. PORTS is the first port of the run.
set -euo pipefail
WORKERS=$1
MEMBERS=$2
IDLE=${IDLE:-15}
CHANGES=${CHANGES:-15}
PORTS=${PORTS:-7400}
SITE_NAME=scaled-$WORKERS
source "$(dirname "$0")/lib.sh"
trap stop_all_processes EXIT
printf %s "$TOKEN" >"$RUN/token"
chmod 600 "$RUN/token"

# The number of services grows with the workers, up to 230, one for each team, at 4,100 workers.
SERVICES=$((WORKERS * 230 / 4100))
SERVICES=$((SERVICES < 4 ? 4 : SERVICES))
# Time after the start until slots are distributed and the first reads are done, in seconds.
SETTLE=4

# print_services TIMEOUT: prints the services, each with the given timeout.
print_services() {
  local i
  echo "services:"
  for i in $(seq "$SERVICES"); do
    printf '  - {name: service-%03d, path_prefix: /service-%03d/, pool: pool-%02d, timeout: %s, availability_target: 0.999}\n' \
      "$i" "$i" $(((i - 1) % 24 + 1)) "$1"
  done
}

lists_all_members() { [ "$(run_operator 1 member list | grep -c 'entry-')" -ge "$MEMBERS" ]; }
reports_in_force() { run_operator 1 config status --require-in-force; }

# write_metrics_sample FILE: writes the time and the metrics of all entry processes, each with
# its sum and its maximum by name and labels.
write_metrics_sample() {
  local n
  { echo "time $(date +%s.%N)"
    for n in $(seq "$MEMBERS"); do curl -fsS "http://$(metrics_address "$n")/metrics" | grep -E '^(process_(cpu|resident)|go_memstats_(heap_inuse|alloc)_bytes |peridotcrank_(control|platform))'; done
  } | awk '{sum[$1]+=$2; if ($2>max[$1]) max[$1]=$2} END {for (k in sum) printf "%s %.6f %.6f\n", k, sum[k], max[k]}' >"$1"
}

# print_rates NAME FROM TO [EXTRA]: prints the mean rates per process between two samples, as a
# benchmark line that ends with EXTRA.
print_rates() {
  awk -v name="$1" -v members="$MEMBERS" -v workers="$WORKERS" -v services="$SERVICES" -v extra="${4:-}" '
    FNR==NR {from[$1]=$2; next} {to[$1]=$2; max[$1]=$3}
    function rate(k) {return (to[k]-from[k])/seconds/members}
    END {
      seconds=to["time"]-from["time"]
      b="peridotcrank_control_bytes_total"
      printf "Benchmark%s/members=%d/workers=%d 1 %d services", name, members, workers, services
      printf " %.3f cpu-%%", 100*rate("process_cpu_seconds_total")
      printf " %.1f rss-MB", to["process_resident_memory_bytes"]/members/1e6
      printf " %.1f rss-max-MB", max["process_resident_memory_bytes"]/1e6
      printf " %.0f peer-sent-B/s", rate(b "{direction=\"sent\",side=\"peers\"}")
      printf " %.0f peer-received-B/s", rate(b "{direction=\"received\",side=\"peers\"}")
      printf " %.0f platform-sent-B/s", rate(b "{direction=\"sent\",side=\"platform\"}")
      printf " %.0f platform-received-B/s", rate(b "{direction=\"received\",side=\"platform\"}")
      printf " %.2f messages/s", rate("peridotcrank_control_messages_total{class=\"control\",direction=\"sent\"}")
      printf " %.2f reads/s", rate("peridotcrank_platform_requests_total{operation=\"read\"}")
      printf " %.2f writes/s", rate("peridotcrank_platform_requests_total{operation=\"write\"}")
      printf " %.2f lists/s%s\n", rate("peridotcrank_platform_requests_total{operation=\"list-vms\"}"), extra
    }' "$2" "$3"
}

# print_roll_out_quantiles FILE: prints quantiles of the time until a configuration is in force
# everywhere, from the log of an entry process.
print_roll_out_quantiles() {
  grep -oE 'roll_out_us":[0-9]+' "$1" | cut -d: -f2 | tail -n +2 | sort -n | awk '
    {v[NR]=$1} function q(p) {i=int(p*NR+0.999); return v[i<1?1:i]/1000}
    END {if (NR) printf " %d roll-outs %.1f p50-ms %.1f p99-ms %.1f max-ms", NR, q(.5), q(.99), v[NR]/1000}'
}

start_process platform "$BIN/testbed" platform --workers "$WORKERS" --base-port "$BASE_PORT" --listen "$PLATFORM" --control "$CONTROL"
wait_for 10 curl -fsS "http://$PLATFORM/v1/vms"
for n in $(seq "$MEMBERS"); do start_entry "$n" "zone-$(((n - 1) % 9 + 1))"; done
for n in $(seq "$MEMBERS"); do wait_for 20 curl -s "http://$(admin_address "$n")/v1/members"; done
wait_for 30 lists_all_members
require_running platform
for n in $(seq "$MEMBERS"); do require_running "entry-$n"; done
print_services 1900ms >"$RUN/services.yaml"
run_operator 1 config set "$RUN/services.yaml" >"$RUN/set.log"
wait_for 13 reports_in_force
for n in $(seq "$MEMBERS"); do wait_for 30 is_ready "$n"; done
sleep "$SETTLE"

write_metrics_sample "$RUN/idle-from"
sleep "$IDLE"
write_metrics_sample "$RUN/idle-to"
print_rates LiveIdle "$RUN/idle-from" "$RUN/idle-to"

for i in $(seq "$CHANGES"); do
  print_services $((1000 + i))ms >"$RUN/services.yaml"
  run_operator 1 config set "$RUN/services.yaml" >>"$RUN/set.log"
  sleep 0.95
done
wait_for 13 reports_in_force
write_metrics_sample "$RUN/changes-to"
print_rates LiveChanges "$RUN/idle-to" "$RUN/changes-to" "$(print_roll_out_quantiles "$RUN/entry-1.log")"
