# Cases of the fault matrix. Source after matrix_steps.sh. Bounds come from docs/design.md.

# A line is: NAME SEED FUNCTION ARGS...
CASES=(
  "planned-stop 101 case_planned_stop"
  "rolling-replacement 102 case_rolling_replacement"
  "kill-entry 103 case_kill_entry"
  "freeze-entry 104 case_freeze_entry"
  "platform-frozen 105 case_platform_frozen"
  "platform-down 106 case_platform_down"
  "driver-killed-reserved 111 case_driver_killed serving pool-capacity"
  "driver-killed-draining 112 case_driver_killed draining pool-capacity"
  "driver-killed-drained 113 case_driver_killed drained pool-capacity"
  "driver-killed-moved 114 case_driver_killed moved pool-capacity"
  "driver-killed-rebooting 115 case_driver_killed rebooting empty-rack"
  "driver-killed-rebooted 116 case_driver_killed rebooted empty-rack"
  "driver-killed-probed 117 case_driver_killed probed pool-capacity"
  "rack-refuses 121 case_backends down rack"
  "rack-truncates 122 case_backends truncate rack"
  "rack-answers-errors 123 case_backends error rack"
  "rack-slow 124 case_backends slow rack"
  "zone-refuses 125 case_backends down zone"
  "zone-truncates 126 case_backends truncate zone"
  "zone-answers-errors 127 case_backends error zone"
  "zone-slow 128 case_backends slow zone"
  "vms-leaving 131 case_leaving"
  "replies-lost-configuration 141 case_replies_lost_configuration"
  "replies-lost-plan 142 case_replies_lost_plan"
  "surge-quokka 151 case_surge quokka"
  "surge-castwork 152 case_surge castwork"
)

# Bounds of the design, in milliseconds or seconds.
VALIDITY_MS=3000       # Section 7.1: validity of a view.
SUSPICION_MS=2000      # Section 7.1: silence after which a member is suspected.
LEAVING_MS=3000        # Section 1.2: time until a leaving VM receives no new work.
POLL_MS=1000           # Section 7.4: interval of reads from the store.
LEASE_S=5              # Section 7.3: lease of a plan.
IN_FORCE_S=13          # Section 1.5: time until a configuration is in force everywhere.
SERVICE_TIME_MEAN=20ms # Mean time of a request on a backend server.

case_planned_stop() {
  INJECTED="SIGTERM of entry-2 under load"
  begin $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 3
  signal entry-2 TERM
  await_exit entry-2 12 || fail "entry-2 did not stop gracefully: exit code $?"
  sleep 3
  end_load --all-answered
}

case_rolling_replacement() {
  INJECTED="SIGTERM and restart of each entry process in turn, two configurations"
  begin $SERVICE_TIME_MEAN || return 1
  start versions "$BIN/testbed" versions --token-file "$RUN/token" \
    --callers "$(callers_of 1)" --callers "$(callers_of 2)" --callers "$(callers_of 3)" \
    --admin "$(admin_of 1)" --admin "$(admin_of 2)" --admin "$(admin_of 3)"
  start_load
  sleep 1
  local n other zones=(a b c)
  for n in 1 2 3; do
    other=$((n % 3 + 1))
    signal "entry-$n" TERM
    await_exit "entry-$n" 12 || fail "entry-$n did not stop gracefully: exit code $?"
    write_services "$((2000 + n))ms" >"$RUN/services.yaml"
    [ $n -lt 3 ] && { operator $other config set "$RUN/services.yaml" || fail "configuration $((n + 1)) was not accepted"; }
    restart_entry $n "${zones[n - 1]}"
    wait_for 15 ready $n || fail "entry-$n did not become ready again"
  done
  sleep 1
  wait_for $IN_FORCE_S in_force 1 3 || fail "configuration 3 is not in force"
  signal versions TERM
  await_exit versions 5 || fail "versions: $(grep -m1 -E 'BROKEN|testbed:' "$RUN/versions.log")"
  note "$(head -1 "$RUN/versions.log")"
  end_load --all-answered
}

case_kill_entry() {
  INJECTED="SIGKILL of entry-2 under load, callers resubmit"
  begin $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 3
  signal entry-2 KILL
  local at
  at=$(now_ms)
  await_exit entry-2 5
  sleep 9
  # Suspicion, the heartbeat and poll that notice it, and the validity of the old view.
  end_load --answered-from $((at + SUSPICION_MS + POLL_MS + VALIDITY_MS + POLL_MS))
  note "in doubt $(figure 'in doubt')"
}

case_freeze_entry() {
  INJECTED="SIGSTOP of entry-3 for 8 s, SIGCONT"
  begin $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 2
  signal entry-3 STOP
  local stopped continued since rejoined
  stopped=$(now_ms)
  sleep 8
  operator 1 member list | grep -q entry-3 && fail "entry-3 was not evicted within 8 s"
  since=$(date -u +%Y-%m-%dT%H:%M:%S.%3NZ)
  continued=$(now_ms)
  signal entry-3 CONT
  wait_for 10 has_member 1 entry-3 || fail "entry-3 did not rejoin"
  wait_for 10 ready 3 || fail "entry-3 did not become ready again"
  sleep 1
  rejoined=$(logged entry-3 member-joined "$since" '"field.peer":"entry-3"')
  if [ -z "$rejoined" ]; then
    fail "entry-3 recorded no new incarnation"
    rejoined=$(now_ms)
  fi
  note "rejoined $((rejoined - continued)) ms after SIGCONT"
  # Requests written before the stop reach their backend server within the first second.
  end_load --silent-entry "$(callers_of 3)@$((stopped + 1000))-$((rejoined - 1))"
  note "in doubt $(figure 'in doubt')"
}

# try_configuration VERSION: sets a configuration during an outage, which must be refused with an error.
try_configuration() {
  local code started
  write_services 1900ms >"$RUN/services.yaml"
  started=$(now_ms)
  operator 2 config set "$RUN/services.yaml" >"$RUN/refused.log" 2>&1
  code=$?
  note "configuration: exit code $code after $(($(now_ms) - started)) ms: $(head -1 "$RUN/refused.log" | cut -c1-200)"
  [ $code -eq 0 ] && fail "a configuration was accepted during the outage"
  # Exit code 6: not carried out. Exit code 7: the commit was sent and its reply is missing.
  [ $code -eq 6 ] || [ $code -eq 7 ] || fail "exit code $code does not say that the platform is unavailable"
  [ -s "$RUN/refused.log" ] || fail "the refusal gives no reason"
  REFUSED_WITH=$code
}

# after_outage: the refused configuration has not become the one in force, and a new one is accepted.
after_outage() {
  local version
  wait_for 5 curl -fsS --max-time 1 "http://$PLATFORM/v1/vms" || return 1
  sleep 2
  version=$(operator 1 config status | sed -n 's/^version \([0-9]*\):.*/\1/p')
  if [ "$REFUSED_WITH" -eq 6 ] && [ "$version" != 1 ]; then fail "version $version is in force after a refusal"; fi
  write_services 1800ms >"$RUN/services.yaml"
  operator 3 config set "$RUN/services.yaml" >>"$RUN/config.log" 2>&1 || fail "no configuration is accepted after the outage"
  wait_for $IN_FORCE_S in_force 1 $((version + 1)) || fail "version $((version + 1)) is not in force after the outage"
  [ "$(operator 1 member list | grep -c entry-)" -eq 3 ] || fail "not all members are left"
}

case_platform_frozen() {
  INJECTED="SIGSTOP of the platform for 10 s"
  begin $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 1
  signal platform STOP
  sleep 4
  try_configuration
  sleep 4
  signal platform CONT
  after_outage || fail "the platform did not return"
  end_load --all-answered
}

case_platform_down() {
  INJECTED="table service down for 10 s"
  begin $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 1
  set_faults '[{"kind": "down"}]' || return 1
  sleep 4
  try_configuration
  sleep 5
  set_faults '[]' || return 1
  after_outage || fail "the platform did not return"
  end_load --all-answered
}

# case_driver_killed PHASE KIND: kills the driver of a plan when a VM has reached a phase.
case_driver_killed() {
  INJECTED="SIGKILL of the driver at phase $1, $2"
  begin $SERVICE_TIME_MEAN || return 1
  # Slow commits make each phase last long enough to be observed.
  set_faults '[{"kind": "slow", "method": "commit", "delay_ms": 200}]' || return 1
  start_load
  sleep 1
  local plan seen vm phase driver at survivor target
  case $2 in
    pool-capacity) plan=$(create_plan 1 pool-capacity counterdesk 8) ;;
    empty-rack) plan=$(create_plan 1 empty-rack "$SITE_NAME-c-r04") ;;
  esac
  [ -n "$plan" ] || { fail "no plan: $(cat "$RUN/plan.json" "$RUN/plan.log")"; return 1; }
  watch_drains "$plan"
  seen=$("$BIN/testbed" phase --platform "$PLATFORM" --plan "$plan" --phase "$1") || { fail "phase $1 was not reached"; return 1; }
  read -r vm phase driver _ <<<"$seen"
  signal "$driver" KILL
  at=$(now_ms)
  note "killed $driver with $vm in phase $phase"
  [ "$phase" = "$1" ] || fail "the fault was injected at phase $phase"
  set_faults '[]'
  survivor=1
  [ "$driver" = entry-1 ] && survivor=2
  # The lease, the eviction of the driver with the validity of its view, and the steps of the plan.
  wait_for $((LEASE_S + 15)) plan_done $survivor "$plan" || fail "the plan has not ended: $(operator $survivor plan show "$plan" | tr '\n' ' ')"
  note "plan done $(($(now_ms) - at)) ms after the kill"
  sleep 1
  check_moves $survivor "$plan"
  end_load "${SILENT[@]}"
}

# watch_drains PLAN: records when each VM of a plan is seen as drained.
watch_drains() {
  start drained "$BIN/testbed" phase --platform "$PLATFORM" --plan "$1" --phase drained --all --timeout 60s
}

# check_moves N PLAN: each VM of the plan is in the pool it was meant for, in the
# view of each living entry process. VMs that go to the spare pool, which has no
# load, get no request from the time at which they were seen as drained.
check_moves() {
  stop_matching drained
  local n vm to from drained moves=0
  SILENT=()
  while read -r vm from to; do
    for n in 1 2 3; do
      is_ours "$(pid_of "entry-$n")" || continue
      [ "$(pool_of $n "$vm")" = "$to serving" ] || fail "$vm is in '$(pool_of $n "$vm")' at entry-$n, not in $to"
    done
    if [ "$from" != "$to" ] && [ "$to" = backoffice ]; then
      drained=$(awk -v vm="$vm" '$1 == vm { print $4 }' "$RUN/drained.log")
      [ -n "$drained" ] || fail "$vm was not seen as drained"
      SILENT+=(--silent-vm "$vm@${drained:-0}")
    fi
    moves=$((moves + 1))
  done < <(operator "$1" plan show "$2" | awk 'moves { print $1, $2, $3 } $1 == "VM" && $2 == "FROM" { moves = 1 }')
  [ $moves -gt 0 ] || fail "the plan holds no move"
}

# case_backends MODE rack|zone: changes the backend servers of a rack or an availability zone for 5 s.
case_backends() {
  INJECTED="backend servers of a $2: $1 for 5 s"
  begin $SERVICE_TIME_MEAN || return 1
  local vms from to name="$SITE_NAME-a" arguments=()
  [ "$2" = rack ] && name="$SITE_NAME-a-r01"
  vms=$(vms_of "$2" "$name")
  [ -n "$vms" ] || { fail "no VMs in $name"; return 1; }
  start_load
  sleep 3
  # shellcheck disable=SC2086 # VM names are words.
  set_mode "$1" $vms || return 1
  from=$(now_ms)
  sleep 5
  to=$(now_ms)
  # shellcheck disable=SC2086
  set_mode ok $vms || return 1
  sleep 2
  for vm in $vms; do arguments+=(--failing-vm "$vm"); done
  arguments+=(--failing-from "$from" --failing-to "$to")
  # Section 8: a request to a server that refuses is tried on another one. Those
  # in progress when the servers went down are not covered.
  # Section 8: a server that answers fast with errors is ejected.
  [ "$1" = error ] && arguments+=(--ejected)
  [ "$1" = down ] && arguments+=(--answered-from $((from + 1000)))
  end_load "${arguments[@]}"
  note "$(wc -w <<<"$vms") VMs; share of failing VMs $(figure 'share of failing VMs'); in doubt $(figure 'in doubt')"
}

case_leaving() {
  INJECTED="a VM of each pool announced as leaving, list lags 2 s"
  local lag_ms=2000 at vm silent=()
  begin $SERVICE_TIME_MEAN --list-lag ${lag_ms}ms || return 1
  start_load
  sleep 2
  for vm in vm-001 vm-010 vm-019 vm-030; do post "http://$PLATFORM/v1/vms/$vm/state" '{"state": "leaving"}' || return 1; done
  at=$(now_ms)
  for vm in vm-001 vm-010 vm-019 vm-030; do silent+=(--silent-vm "$vm@$((at + lag_ms + LEAVING_MS))"); done
  sleep 9
  end_load --all-answered "${silent[@]}"
}

case_replies_lost_configuration() {
  INJECTED="replies to all commits lost after the effect, during a configuration"
  begin $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 1
  set_faults '[{"kind": "reply-lost", "method": "commit"}]' || return 1
  write_services 1900ms >"$RUN/services.yaml"
  local at
  at=$(now_ms)
  operator 2 config set "$RUN/services.yaml" >"$RUN/config.log" 2>&1 || fail "config set: exit code $?: $(tail -1 "$RUN/config.log")"
  grep -q "version 2 " "$RUN/config.log" || fail "not version 2: $(cat "$RUN/config.log")"
  wait_for $IN_FORCE_S in_force 1 2 || fail "version 2 is not in force"
  note "in force after $(($(now_ms) - at)) ms"
  set_faults '[]'
  sleep 3
  in_force 3 2 || fail "version 2 is no longer the one in force: $(operator 3 config status | head -1)"
  end_load --all-answered
}

case_replies_lost_plan() {
  INJECTED="replies to all commits lost after the effect, during a plan"
  begin $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 1
  set_faults '[{"kind": "reply-lost", "method": "commit"}]' || return 1
  local plan at
  at=$(now_ms)
  plan=$(create_plan 1 pool-capacity counterdesk 8)
  [ -n "$plan" ] || { fail "no plan: $(cat "$RUN/plan.json" "$RUN/plan.log")"; return 1; }
  watch_drains "$plan"
  wait_for 20 plan_done 2 "$plan" || fail "the plan has not ended: $(operator 2 plan show "$plan" | tr '\n' ' ')"
  note "plan done after $(($(now_ms) - at)) ms"
  set_faults '[]'
  sleep 1
  check_moves 1 "$plan"
  end_load --all-answered "${SILENT[@]}"
}

# case_surge SITE: each service surges in turn at 1.25 times what its pool
# holds. Slow requests keep the rates, and so the load of the machine, low.
case_surge() {
  INJECTED="surges of all services of $1 in turn, 3 s each, five times the mean"
  use_site "$1"
  begin 200ms || return 1
  SCALE=1 start_load --surge 3s
  wait "$(pid_of load)"
  judge
  note "late $(figure 'late answers')"
  note "availability $(awk 'NR > 1 { printf "%s %s shed %s; ", $1, $9, $5 }' "$RUN/load.log")"
}
