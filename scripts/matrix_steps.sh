# Steps that the cases of the fault matrix share. Source this file after lib.sh.

# SCALE keeps the load low, at about 225 requests a second in all, so that a slow machine
# does not make a case fail.
SCALE=0.05
INJECTED=""
EXTRA=""

current_time_ms() { date +%s%3N; }

# fail TEXT: records a failure of the running case.
record_failure() { echo "FAILED: $*" | tee -a "$RUN/failures"; }

# add_to_row TEXT: adds a text to the result row of the running case.
add_to_row() { EXTRA="${EXTRA:+$EXTRA; }$*"; }

# select_site NAME: sets the site of the case and its pools.
select_site() {
  SITE=$1
  if [ "$1" = castwork ]; then
    SITE_NAME=jm-south
    POOLS=(pricing pourplan stores dispatch)
  fi
}

# start_site SERVICE_TIME [PLATFORM_ARGS...]: starts all processes, sets a configuration and
# waits until it is in force.
start_site() {
  SERVICE_TIME=$1
  shift
  printf %s "$TOKEN" >"$RUN/token"
  chmod 600 "$RUN/token"
  start_process backend "$BIN/testbed" backend --site "$SITE" --base-port "$BASE_PORT" --control "$CONTROL" \
    --service-time "$SERVICE_TIME" --seed "$SEED"
  wait_for 15 curl -fsS "http://$CONTROL/v1/runs" || return 1
  start_process platform "$BIN/testbed" platform --site "$SITE" --base-port "$BASE_PORT" --listen "$PLATFORM" --control "$CONTROL" "$@"
  wait_for 15 curl -fsS "http://$PLATFORM/v1/vms" || return 1
  local n zones=(a b c)
  for n in 1 2 3; do start_entry $n "$SITE_NAME-${zones[n - 1]}"; done
  for n in 1 2 3; do
    wait_for 15 curl -s "http://$(admin_address $n)/v1/members" || return 1
    wait_for 15 lists_member 1 "entry-$n" || return 1
  done
  print_services 2s >"$RUN/services.yaml"
  run_operator 1 config set "$RUN/services.yaml" >"$RUN/config.log" 2>&1 || return 1
  for n in 1 2 3; do wait_for 15 is_ready $n || return 1; done
  wait_for 13 reports_in_force 1 1
}

# start_load ARGS...: starts the load in the background, for 60 s or until stop_and_verify_load.
start_load() {
  start_process load "$BIN/testbed" load --site "$SITE" --service-time "$SERVICE_TIME" --seed "$SEED" --length 60s \
    --scale "$SCALE" --resubmissions 3 --output "$RUN/report.json" \
    --entry "$(callers_address 1)" --entry "$(callers_address 2)" --entry "$(callers_address 3)" "$@"
}

# stop_and_verify_load [VERIFY_ARGS...]: stops the load and checks the guarantees.
stop_and_verify_load() {
  stop_processes load
  verify_load "$@"
}

# verify_load [VERIFY_ARGS...]: compares the outcomes that callers received with the requests
# that backend servers ran, and records a failure when a guarantee was broken.
verify_load() {
  cat "$RUN/load.log"
  if ! "$BIN/testbed" verify --report "$RUN/report.json" --control "$CONTROL" --summary "$@" >"$RUN/verify.log" 2>&1; then
    record_failure "verify: $(grep -m1 -E 'BROKEN|testbed:' "$RUN/verify.log")"
  fi
  cat "$RUN/verify.log"
}

# verify_figure PREFIX: prints the figure after a prefix in the output of testbed verify.
verify_figure() { sed -n "s/^.*$1: //p" "$RUN/verify.log" 2>/dev/null | head -1; }

# append_result_row NAME: appends the result of the case to the table of all cases.
append_result_row() {
  local verdict=passed
  [ -s "$RUN/failures" ] && verdict=FAILED
  echo "$verdict|$1|seed $SEED|$INJECTED|$(verify_figure submissions)|above slots $(verify_figure 'starts above the slots of a VM' | cut -d, -f1)|broken $(verify_figure 'broken guarantees')|no answer $(verify_figure 'longest time without an answer, s')|$EXTRA|load average $(cut -d' ' -f1 /proc/loadavg)" | tee -a "$ROWS"
}

# await_exit NAME SECONDS: waits until a process exits and returns its exit code, or 124
# when it still runs after the given time.
await_exit() {
  local pid deadline=$((SECONDS + $2))
  pid=$(pid_of "$1")
  while is_child "$pid"; do
    if [ $SECONDS -ge $deadline ]; then return 124; fi
    sleep 0.05
  done
  wait "$pid"
}

# send_signal NAME SIGNAL: sends a signal to a process of the case.
send_signal() { kill "-$2" "$(pid_of "$1")"; }

# restart_entry N ZONE_LETTER: restarts a stopped entry process and keeps the log of
# its previous run.
restart_entry() {
  cat "$RUN/entry-$1.log" >>"$RUN/entry-$1.former.log"
  start_entry "$1" "$SITE_NAME-$2"
}

# post_json URL JSON: sends a JSON document to a stand-in.
post_json() { curl -fsS --max-time 5 -X POST -H 'Content-Type: application/json' --data "$2" "$1" >/dev/null; }

# set_table_faults JSON_LIST: replaces the faults of the table service.
set_table_faults() { post_json "http://$PLATFORM/v1/faults" "{\"faults\": $1}"; }

# set_backend_mode MODE VM...: sets the mode of the backend servers of VMs.
set_backend_mode() {
  local mode=$1 vm
  shift
  for vm in "$@"; do post_json "http://$CONTROL/v1/vms/$vm/mode" "{\"mode\": \"$mode\"}" || return 1; done
}

# list_vms rack|zone NAME: prints the VMs of a rack or an availability zone.
list_vms() { run_operator 1 vm list "--$1" "$2" | awk 'NR > 1 { print $1 }'; }

# create_and_confirm_plan N KIND ARGS...: creates and confirms a plan and prints its ID.
create_and_confirm_plan() {
  local n=$1 plan
  shift
  run_operator "$n" --output json intent create "$@" >"$RUN/plan.json" || return 1
  plan=$(grep -o '"id": *"plan-[^"]*"' "$RUN/plan.json" | head -1 | cut -d'"' -f4)
  run_operator "$n" plan confirm "$plan" >>"$RUN/plan.log" 2>&1 || return 1
  echo "$plan"
}

# pool_and_phase_of N VM: prints the pool and the phase of a VM as reported by entry process N.
pool_and_phase_of() { run_operator "$1" vm list | awk -v vm="$2" '$1 == vm { print $2, $3 }'; }

# first_event_time_ms NAME EVENT SINCE_ISO [PATTERN]: prints the time of the first matching
# event since a time in the log of a process, in ms since the Unix epoch.
first_event_time_ms() {
  local at
  at=$(grep "\"event\":\"$2\"" "$RUN/$1.log" | grep -E "${4:-.}" | grep -o '"time":"[^"]*"' | cut -d'"' -f4 |
    awk -v since="$3" '$0 >= since' | head -1)
  [ -n "$at" ] && date -d "$at" +%s%3N
}
