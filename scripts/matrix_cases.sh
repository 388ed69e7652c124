# Cases of the fault matrix. Source this file after matrix_steps.sh. The sections in comments
# are those of docs/design.md.

# Each line has the form NAME SEED FUNCTION ARGS...
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
  "rack-refuses 121 case_backend_mode down rack"
  "rack-truncates 122 case_backend_mode truncate rack"
  "rack-answers-errors 123 case_backend_mode error rack"
  "rack-slow 124 case_backend_mode slow rack"
  "zone-refuses 125 case_backend_mode down zone"
  "zone-truncates 126 case_backend_mode truncate zone"
  "zone-answers-errors 127 case_backend_mode error zone"
  "zone-slow 128 case_backend_mode slow zone"
  "vms-leaving 131 case_vms_leaving"
  "replies-lost-configuration 141 case_replies_lost_configuration"
  "replies-lost-plan 142 case_replies_lost_plan"
  "surge-quokka 151 case_surges quokka"
  "surge-castwork 152 case_surges castwork"
)

# Bounds of the design, in milliseconds or seconds.
VALIDITY_MS=3000       # Section 7.1: validity of a view.
SUSPICION_MS=2000      # Section 7.1: time without a heartbeat after which a member is suspected.
LEAVING_MS=3000        # Section 1.2: time until a leaving VM receives no new work.
POLL_MS=1000           # Section 7.4: interval of reads from the store.
LEASE_S=5              # Section 7.3: lease of a plan.
IN_FORCE_S=13          # Section 1.5: time until a configuration is in force everywhere.
SERVICE_TIME_MEAN=20ms # Mean time of a request on a backend server.

case_planned_stop() {
  INJECTED="SIGTERM of entry-2 under load"
  start_site $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 3
  send_signal entry-2 TERM
  await_exit entry-2 12 || record_failure "entry-2 did not stop gracefully: exit code $?"
  sleep 3
  stop_and_verify_load --all-answered
}

case_rolling_replacement() {
  INJECTED="SIGTERM and restart of each entry process in turn, two configurations"
  start_site $SERVICE_TIME_MEAN || return 1
  start_process versions "$BIN/testbed" versions --token-file "$RUN/token" \
    --callers "$(callers_address 1)" --callers "$(callers_address 2)" --callers "$(callers_address 3)" \
    --admin "$(admin_address 1)" --admin "$(admin_address 2)" --admin "$(admin_address 3)"
  start_load
  sleep 1
  local n other zones=(a b c)
  for n in 1 2 3; do
    other=$((n % 3 + 1))
    send_signal "entry-$n" TERM
    await_exit "entry-$n" 12 || record_failure "entry-$n did not stop gracefully: exit code $?"
    print_services "$((2000 + n))ms" >"$RUN/services.yaml"
    [ $n -lt 3 ] && { run_operator $other config set "$RUN/services.yaml" || record_failure "configuration $((n + 1)) was not accepted"; }
    restart_entry $n "${zones[n - 1]}"
    wait_for 15 is_ready $n || record_failure "entry-$n did not become ready again"
  done
  sleep 1
  wait_for $IN_FORCE_S reports_in_force 1 3 || record_failure "configuration 3 is not in force"
  send_signal versions TERM
  await_exit versions 5 || record_failure "versions: $(grep -m1 -E 'BROKEN|testbed:' "$RUN/versions.log")"
  add_to_row "$(head -1 "$RUN/versions.log")"
  stop_and_verify_load --all-answered
}

case_kill_entry() {
  INJECTED="SIGKILL of entry-2 under load, callers resubmit"
  start_site $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 3
  send_signal entry-2 KILL
  local at
  at=$(current_time_ms)
  await_exit entry-2 5
  sleep 9
  # The time until suspicion, one interval for the heartbeat and one for the poll that detect
  # it, and the validity of the old view.
  stop_and_verify_load --answered-from $((at + SUSPICION_MS + POLL_MS + VALIDITY_MS + POLL_MS))
  add_to_row "in doubt $(verify_figure 'in doubt')"
}

case_freeze_entry() {
  INJECTED="SIGSTOP of entry-3 for 8 s, SIGCONT"
  start_site $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 2
  send_signal entry-3 STOP
  local stopped continued since rejoined
  stopped=$(current_time_ms)
  sleep 8
  run_operator 1 member list | grep -q entry-3 && record_failure "entry-3 was not evicted within 8 s"
  since=$(date -u +%Y-%m-%dT%H:%M:%S.%3NZ)
  continued=$(current_time_ms)
  send_signal entry-3 CONT
  wait_for 10 lists_member 1 entry-3 || record_failure "entry-3 did not rejoin"
  wait_for 10 is_ready 3 || record_failure "entry-3 did not become ready again"
  sleep 1
  rejoined=$(first_event_time_ms entry-3 member-joined "$since" '"field.peer":"entry-3"')
  if [ -z "$rejoined" ]; then
    record_failure "entry-3 recorded no new incarnation"
    rejoined=$(current_time_ms)
  fi
  add_to_row "rejoined $((rejoined - continued)) ms after SIGCONT"
  # Requests sent before the stop reach their backend server within the first second.
  stop_and_verify_load --silent-entry "$(callers_address 3)@$((stopped + 1000))-$((rejoined - 1))"
  add_to_row "in doubt $(verify_figure 'in doubt')"
}

# check_configuration_refused: sets a configuration during an outage and checks that it is
# refused with an error.
check_configuration_refused() {
  local code started
  print_services 1900ms >"$RUN/services.yaml"
  started=$(current_time_ms)
  run_operator 2 config set "$RUN/services.yaml" >"$RUN/refused.log" 2>&1
  code=$?
  add_to_row "configuration: exit code $code after $(($(current_time_ms) - started)) ms: $(head -1 "$RUN/refused.log" | cut -c1-200)"
  [ $code -eq 0 ] && record_failure "a configuration was accepted during the outage"
  # Exit code 6: the command was not carried out. Exit code 7: the commit was sent, but its
  # reply is missing.
  [ $code -eq 6 ] || [ $code -eq 7 ] || record_failure "exit code $code does not say that the platform is unavailable"
  [ -s "$RUN/refused.log" ] || record_failure "the refusal gives no reason"
  REFUSED_WITH=$code
}

# check_after_outage: checks that the refused configuration is not in force, that a new one is
# accepted and comes into force, and that all members are listed.
check_after_outage() {
  local version
  wait_for 5 curl -fsS --max-time 1 "http://$PLATFORM/v1/vms" || return 1
  sleep 2
  version=$(run_operator 1 config status | sed -n 's/^version \([0-9]*\):.*/\1/p')
  if [ "$REFUSED_WITH" -eq 6 ] && [ "$version" != 1 ]; then record_failure "version $version is in force after a refusal"; fi
  print_services 1800ms >"$RUN/services.yaml"
  run_operator 3 config set "$RUN/services.yaml" >>"$RUN/config.log" 2>&1 || record_failure "no configuration is accepted after the outage"
  wait_for $IN_FORCE_S reports_in_force 1 $((version + 1)) || record_failure "version $((version + 1)) is not in force after the outage"
  [ "$(run_operator 1 member list | grep -c entry-)" -eq 3 ] || record_failure "the member list does not hold all three entry processes"
}

case_platform_frozen() {
  INJECTED="SIGSTOP of the platform for 10 s"
  start_site $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 1
  send_signal platform STOP
  sleep 4
  check_configuration_refused
  sleep 4
  send_signal platform CONT
  check_after_outage || record_failure "the platform is not available after the outage"
  stop_and_verify_load --all-answered
}

case_platform_down() {
  INJECTED="table service down for 10 s"
  start_site $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 1
  set_table_faults '[{"kind": "down"}]' || return 1
  sleep 4
  check_configuration_refused
  sleep 5
  set_table_faults '[]' || return 1
  check_after_outage || record_failure "the platform is not available after the outage"
  stop_and_verify_load --all-answered
}

# case_driver_killed PHASE KIND: kills the driver of a plan when a VM of the plan reaches a phase.
case_driver_killed() {
  INJECTED="SIGKILL of the driver at phase $1, $2"
  start_site $SERVICE_TIME_MEAN || return 1
  # Slow commits keep a VM in each phase long enough for the phase to be observed.
  set_table_faults '[{"kind": "slow", "method": "commit", "delay_ms": 200}]' || return 1
  start_load
  sleep 1
  local plan seen vm phase driver at survivor target
  case $2 in
    pool-capacity) plan=$(create_and_confirm_plan 1 pool-capacity counterdesk 8) ;;
    empty-rack) plan=$(create_and_confirm_plan 1 empty-rack "$SITE_NAME-c-r04") ;;
  esac
  [ -n "$plan" ] || { record_failure "no plan was created: $(cat "$RUN/plan.json" "$RUN/plan.log")"; return 1; }
  start_drain_watch "$plan"
  seen=$("$BIN/testbed" phase --platform "$PLATFORM" --plan "$plan" --phase "$1") || { record_failure "phase $1 was not reached"; return 1; }
  read -r vm phase driver _ <<<"$seen"
  send_signal "$driver" KILL
  at=$(current_time_ms)
  add_to_row "killed $driver with $vm in phase $phase"
  [ "$phase" = "$1" ] || record_failure "the fault was injected at phase $phase"
  set_table_faults '[]'
  survivor=1
  [ "$driver" = entry-1 ] && survivor=2
  # Covers the lease, the eviction of the driver including the validity of its view, and the
  # steps of the plan.
  wait_for $((LEASE_S + 15)) plan_has_ended $survivor "$plan" || record_failure "the plan has not ended: $(run_operator $survivor plan show "$plan" | tr '\n' ' ')"
  add_to_row "plan done $(($(current_time_ms) - at)) ms after the kill"
  sleep 1
  check_moved_vms $survivor "$plan"
  stop_and_verify_load "${SILENT[@]}"
}

# start_drain_watch PLAN: starts to record the time at which each VM of a plan is first
# observed as drained.
start_drain_watch() {
  start_process drained "$BIN/testbed" phase --platform "$PLATFORM" --plan "$1" --phase drained --all --timeout 60s
}

# check_moved_vms N PLAN: checks that each running entry process lists each VM of the plan in
# its target pool. Sets SILENT to the arguments with which testbed verify checks that a VM
# moved to the spare pool, which has no load, receives no request after it was observed as
# drained.
check_moved_vms() {
  stop_processes drained
  local n vm to from drained moves=0
  SILENT=()
  while read -r vm from to; do
    for n in 1 2 3; do
      is_child "$(pid_of "entry-$n")" || continue
      [ "$(pool_and_phase_of $n "$vm")" = "$to serving" ] || record_failure "$vm is in '$(pool_and_phase_of $n "$vm")' at entry-$n, not in $to"
    done
    if [ "$from" != "$to" ] && [ "$to" = backoffice ]; then
      drained=$(awk -v vm="$vm" '$1 == vm { print $4 }' "$RUN/drained.log")
      [ -n "$drained" ] || record_failure "$vm was not observed as drained"
      SILENT+=(--silent-vm "$vm@${drained:-0}")
    fi
    moves=$((moves + 1))
  done < <(run_operator "$1" plan show "$2" | awk 'moves { print $1, $2, $3 } $1 == "VM" && $2 == "FROM" { moves = 1 }')
  [ $moves -gt 0 ] || record_failure "the plan contains no move"
}

# case_backend_mode MODE rack|zone: sets the mode of the backend servers of a rack or an
# availability zone for 5 s.
case_backend_mode() {
  INJECTED="backend servers of a $2: $1 for 5 s"
  start_site $SERVICE_TIME_MEAN || return 1
  local vms from to name="$SITE_NAME-a" arguments=()
  [ "$2" = rack ] && name="$SITE_NAME-a-r01"
  vms=$(list_vms "$2" "$name")
  [ -n "$vms" ] || { record_failure "no VMs in $name"; return 1; }
  start_load
  sleep 3
  # shellcheck disable=SC2086 # VM names are separate words.
  set_backend_mode "$1" $vms || return 1
  from=$(current_time_ms)
  sleep 5
  to=$(current_time_ms)
  # shellcheck disable=SC2086
  set_backend_mode ok $vms || return 1
  sleep 2
  for vm in $vms; do arguments+=(--failing-vm "$vm"); done
  arguments+=(--failing-from "$from" --failing-to "$to")
  # Section 8: a request whose server refuses the connection is retried on another server.
  # Requests in progress when the servers go down are excluded from the check.
  # Section 8: a server that responds fast with errors is ejected.
  [ "$1" = error ] && arguments+=(--ejected)
  [ "$1" = down ] && arguments+=(--answered-from $((from + 1000)))
  stop_and_verify_load "${arguments[@]}"
  add_to_row "$(wc -w <<<"$vms") VMs; share of failing VMs $(verify_figure 'share of failing VMs'); in doubt $(verify_figure 'in doubt')"
}

case_vms_leaving() {
  INJECTED="a VM of each pool announced as leaving, list lags 2 s"
  local lag_ms=2000 at vm silent=()
  start_site $SERVICE_TIME_MEAN --list-lag ${lag_ms}ms || return 1
  start_load
  sleep 2
  for vm in vm-001 vm-010 vm-019 vm-030; do post_json "http://$PLATFORM/v1/vms/$vm/state" '{"state": "leaving"}' || return 1; done
  at=$(current_time_ms)
  for vm in vm-001 vm-010 vm-019 vm-030; do silent+=(--silent-vm "$vm@$((at + lag_ms + LEAVING_MS))"); done
  sleep 9
  stop_and_verify_load --all-answered "${silent[@]}"
}

case_replies_lost_configuration() {
  INJECTED="replies to all commits lost after the effect, during a configuration"
  start_site $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 1
  set_table_faults '[{"kind": "reply-lost", "method": "commit"}]' || return 1
  print_services 1900ms >"$RUN/services.yaml"
  local at
  at=$(current_time_ms)
  run_operator 2 config set "$RUN/services.yaml" >"$RUN/config.log" 2>&1 || record_failure "config set: exit code $?: $(tail -1 "$RUN/config.log")"
  grep -q "version 2 " "$RUN/config.log" || record_failure "not version 2: $(cat "$RUN/config.log")"
  wait_for $IN_FORCE_S reports_in_force 1 2 || record_failure "version 2 is not in force"
  add_to_row "in force after $(($(current_time_ms) - at)) ms"
  set_table_faults '[]'
  sleep 3
  reports_in_force 3 2 || record_failure "version 2 is no longer the one in force: $(run_operator 3 config status | head -1)"
  stop_and_verify_load --all-answered
}

case_replies_lost_plan() {
  INJECTED="replies to all commits lost after the effect, during a plan"
  start_site $SERVICE_TIME_MEAN || return 1
  start_load
  sleep 1
  set_table_faults '[{"kind": "reply-lost", "method": "commit"}]' || return 1
  local plan at
  at=$(current_time_ms)
  plan=$(create_and_confirm_plan 1 pool-capacity counterdesk 8)
  [ -n "$plan" ] || { record_failure "no plan was created: $(cat "$RUN/plan.json" "$RUN/plan.log")"; return 1; }
  start_drain_watch "$plan"
  wait_for 20 plan_has_ended 2 "$plan" || record_failure "the plan has not ended: $(run_operator 2 plan show "$plan" | tr '\n' ' ')"
  add_to_row "plan done after $(($(current_time_ms) - at)) ms"
  set_table_faults '[]'
  sleep 1
  check_moved_vms 1 "$plan"
  stop_and_verify_load --all-answered "${SILENT[@]}"
}

# case_surges SITE: each service in turn surges to 1.25 times the capacity of its pool. Slow
# requests keep the request rates, and therefore the load of the machine, low.
case_surges() {
  INJECTED="surges of all services of $1 in turn, 3 s each, five times the mean"
  select_site "$1"
  start_site 200ms || return 1
  SCALE=1 start_load --surge 3s
  wait "$(pid_of load)"
  verify_load
  add_to_row "late $(verify_figure 'late answers')"
  add_to_row "availability $(awk 'NR > 1 { printf "%s %s shed %s; ", $1, $9, $5 }' "$RUN/load.log")"
}
