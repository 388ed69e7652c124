# Steps that the cases of the fault matrix have in common. Source after lib.sh.

# SCALE keeps the load small, so that a slow machine does not decide the verdict:
# about 225 requests a second in all.
SCALE=0.05
INJECTED=""
EXTRA=""

now_ms() { date +%s%3N; }

# fail TEXT: records a failure of the running case.
fail() { echo "FAILED: $*" | tee -a "$RUN/failures"; }

# note TEXT: adds a figure to the row of the running case.
note() { EXTRA="${EXTRA:+$EXTRA; }$*"; }

# use_site NAME: selects the site of a case.
use_site() {
  SITE=$1
  if [ "$1" = castwork ]; then
    SITE_NAME=jm-south
    POOLS=(pricing pourplan stores dispatch)
  fi
}

# begin SERVICE_TIME [PLATFORM_ARGS...]: starts all processes and waits until they are ready.
begin() {
  SERVICE_TIME=$1
  shift
  printf %s "$TOKEN" >"$RUN/token"
  chmod 600 "$RUN/token"
  start backend "$BIN/testbed" backend --site "$SITE" --base-port "$BASE_PORT" --control "$CONTROL" \
    --service-time "$SERVICE_TIME" --seed "$SEED"
  wait_for 15 curl -fsS "http://$CONTROL/v1/runs" || return 1
  start platform "$BIN/testbed" platform --site "$SITE" --base-port "$BASE_PORT" --listen "$PLATFORM" --control "$CONTROL" "$@"
  wait_for 15 curl -fsS "http://$PLATFORM/v1/vms" || return 1
  local n zones=(a b c)
  for n in 1 2 3; do start_entry $n "$SITE_NAME-${zones[n - 1]}"; done
  for n in 1 2 3; do
    wait_for 15 curl -s "http://$(admin_of $n)/v1/members" || return 1
    wait_for 15 has_member 1 "entry-$n" || return 1
  done
  write_services 2s >"$RUN/services.yaml"
  operator 1 config set "$RUN/services.yaml" >"$RUN/config.log" 2>&1 || return 1
  for n in 1 2 3; do wait_for 15 ready $n || return 1; done
  wait_for 13 in_force 1 1
}

# start_load ARGS...: sends load until end_load or the end of its length.
start_load() {
  start load "$BIN/testbed" load --site "$SITE" --service-time "$SERVICE_TIME" --seed "$SEED" --length 60s \
    --scale "$SCALE" --resubmissions 3 --output "$RUN/report.json" \
    --entry "$(callers_of 1)" --entry "$(callers_of 2)" --entry "$(callers_of 3)" "$@"
}

# end_load [VERIFY_ARGS...]: ends the load and compares callers with backend servers.
end_load() {
  stop_matching load
  judge "$@"
}

# judge [VERIFY_ARGS...]: compares what callers saw with what backend servers ran.
judge() {
  cat "$RUN/load.log"
  if ! "$BIN/testbed" verify --report "$RUN/report.json" --control "$CONTROL" --summary "$@" >"$RUN/verify.log" 2>&1; then
    fail "verify: $(grep -m1 -E 'BROKEN|testbed:' "$RUN/verify.log")"
  fi
  cat "$RUN/verify.log"
}

# figure PREFIX: the figure that verify printed after a prefix.
figure() { sed -n "s/^.*$1: //p" "$RUN/verify.log" 2>/dev/null | head -1; }

# print_row NAME: appends the row of the case.
print_row() {
  local verdict=passed
  [ -s "$RUN/failures" ] && verdict=FAILED
  echo "$verdict|$1|seed $SEED|$INJECTED|$(figure submissions)|above slots $(figure 'starts above the slots of a VM' | cut -d, -f1)|broken $(figure 'broken guarantees')|no answer $(figure 'longest time without an answer, s')|$EXTRA|load average $(cut -d' ' -f1 /proc/loadavg)" | tee -a "$ROWS"
}

# await_exit NAME SECONDS: waits for the end of a process and returns its exit code.
await_exit() {
  local pid deadline=$((SECONDS + $2))
  pid=$(pid_of "$1")
  while is_ours "$pid"; do
    if [ $SECONDS -ge $deadline ]; then return 124; fi
    sleep 0.05
  done
  wait "$pid"
}

# signal NAME SIGNAL: signals a process of the case.
signal() { kill "-$2" "$(pid_of "$1")"; }

# restart_entry N ZONE_LETTER: starts a stopped entry process again and keeps its former log.
restart_entry() {
  cat "$RUN/entry-$1.log" >>"$RUN/entry-$1.former.log"
  start_entry "$1" "$SITE_NAME-$2"
}

# post URL JSON: sends a document to a stand-in.
post() { curl -fsS --max-time 5 -X POST -H 'Content-Type: application/json' --data "$2" "$1" >/dev/null; }

# set_faults JSON_LIST: replaces the faults of the table service.
set_faults() { post "http://$PLATFORM/v1/faults" "{\"faults\": $1}"; }

# set_mode MODE VM...: changes backend servers.
set_mode() {
  local mode=$1 vm
  shift
  for vm in "$@"; do post "http://$CONTROL/v1/vms/$vm/mode" "{\"mode\": \"$mode\"}" || return 1; done
}

# vms_of FIELD VALUE: the VMs of a rack or an availability zone.
vms_of() { operator 1 vm list "--$1" "$2" | awk 'NR > 1 { print $1 }'; }

# create_plan N KIND ARGS...: creates and confirms a plan and prints its ID.
create_plan() {
  local n=$1 plan
  shift
  operator "$n" --output json intent create "$@" >"$RUN/plan.json" || return 1
  plan=$(grep -o '"id": *"plan-[^"]*"' "$RUN/plan.json" | head -1 | cut -d'"' -f4)
  operator "$n" plan confirm "$plan" >>"$RUN/plan.log" 2>&1 || return 1
  echo "$plan"
}

# pool_of N VM: the pool and the phase of a VM as entry process N sees it.
pool_of() { operator "$1" vm list | awk -v vm="$2" '$1 == vm { print $2, $3 }'; }

# logged NAME EVENT SINCE_ISO [PATTERN]: time of the first event of a log since a time, in ms.
logged() {
  local at
  at=$(grep "\"event\":\"$2\"" "$RUN/$1.log" | grep -E "${4:-.}" | grep -o '"time":"[^"]*"' | cut -d'"' -f4 |
    awk -v since="$3" '$0 >= since' | head -1)
  [ -n "$at" ] && date -d "$at" +%s%3N
}
