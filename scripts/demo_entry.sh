#!/usr/bin/env bash
# Runs the whole system in separate processes on loopback: the stand-ins of the
# platform and of the backend servers, three entry processes in three availability
# zones, callers and an operator. Exits non-zero when a guarantee was broken.
set -euo pipefail
SITE_NAME=wa-south
source "$(dirname "$0")/lib.sh"
trap stop_all_processes EXIT
printf %s "$TOKEN" >"$RUN/token"
chmod 600 "$RUN/token"

echo "== start the platform, 49 backend servers and three entry processes"
start_process backend "$BIN/testbed" backend --site quokka --base-port "$BASE_PORT" --control "$CONTROL"
wait_for 10 curl -fsS "http://$CONTROL/v1/runs"
start_process platform "$BIN/testbed" platform --site quokka --base-port "$BASE_PORT" --listen "$PLATFORM" --control "$CONTROL"
wait_for 10 curl -fsS "http://$PLATFORM/v1/vms"
start_entry 1 wa-south-a
start_entry 2 wa-south-b
start_entry 3 wa-south-c
for n in 1 2 3; do wait_for 10 curl -s "http://$(admin_address $n)/v1/members"; done
wait_for 10 lists_member 1 entry-3
run_operator 1 member list

echo "== accept a configuration"
print_services 2s >"$RUN/services.yaml"
run_operator 1 config set "$RUN/services.yaml"
for n in 1 2 3; do wait_for 10 is_ready $n; done
wait_for 13 reports_in_force 2 1
run_operator 2 config status

echo "== send the mean load of the site and move a VM at the same time"
start_process load "$BIN/testbed" load --site quokka --length 15s --output "$RUN/report.json" \
  --entry "$(callers_address 1)" --entry "$(callers_address 2)" --entry "$(callers_address 3)"
sleep 2
run_operator 1 --output json intent create pool-capacity webshop 12 >"$RUN/plan.json"
plan=$(grep -o '"id": *"plan-[^"]*"' "$RUN/plan.json" | head -1 | cut -d'"' -f4)
run_operator 2 plan show "$plan"
run_operator 2 plan confirm "$plan"
wait_for 20 plan_has_ended 3 "$plan"
run_operator 3 pool list

echo "== accept another configuration under load"
print_services 1500ms >"$RUN/services.yaml"
run_operator 3 config set "$RUN/services.yaml"
wait_for 13 reports_in_force 1 2
wait "$(pid_of load)"

echo "== outcomes of the requests of callers"
cat "$RUN/load.log"
run_operator 1 timeline >"$RUN/timeline.log"
echo "== timeline of the plan, all processes in causal order"
grep -E "intent-created|plan-|move-step" "$RUN/timeline.log" | cut -c1-160
echo "== summary"
echo "moves: $(grep -c 'serving: the VM serves in pool' "$RUN/timeline.log")"
echo "roll-out time of configurations, from acceptance to in force everywhere:"
grep "config-in-force" "$RUN/timeline.log" | cut -c1-160
"$BIN/testbed" verify --report "$RUN/report.json" --control "$CONTROL"
