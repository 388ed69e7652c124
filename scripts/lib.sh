# Functions that start and stop the processes of a test run. Source this file.
# The product itself starts no processes.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=${BIN:-"$ROOT/bin"}
RUN=${RUN:-$(mktemp -d)}
# Processes that start_process has started, as NAME:PID.
STARTED=()
# Maximum time for the graceful stop of processes, in seconds.
STOP_LIMIT=15

# PORTS is the first of the 2,400 ports of a run.
PORTS=${PORTS:-20000}
if [ $((PORTS + 2400)) -gt 32767 ]; then
  # The system uses the ports from 32768 on for outgoing connections.
  echo "PORTS=$PORTS is too high: the last port must be below 32768" >&2
  exit 2
fi
PLATFORM=127.0.0.1:$((PORTS + 1))
CONTROL=127.0.0.1:$((PORTS + 2))
BASE_PORT=$((PORTS + 1000))
TOKEN=demo-operator-token-0123456789abcdef

callers_address() { echo "127.0.0.1:$((PORTS + 2000 + $1))"; }
admin_address() { echo "127.0.0.1:$((PORTS + 2200 + $1))"; }
metrics_address() { echo "127.0.0.1:$((PORTS + 2300 + $1))"; }

# start NAME COMMAND...: runs a command in the background. Its output goes to
# $RUN/NAME.log, its process ID to $RUN/NAME.pid.
start_process() {
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  STARTED+=("$name:$!")
  echo $! >"$RUN/$name.pid"
}

pid_of() { cat "$RUN/$1.pid"; }

# require_running NAME: fails when a command that start_process has started is no
# longer running. Requests could then reach a process of another run on the same ports.
require_running() {
  kill -0 "$(pid_of "$1")" 2>/dev/null && return
  echo "$1 is no longer running: $(tail -n 1 "$RUN/$1.log")" >&2
  return 1
}

# is_child PID: succeeds when the process is a child of this shell. The ID of a process
# that has ended can belong to an unrelated process.
is_child() {
  local shell=$BASHPID
  [ "$(ps -o ppid= -p "$1" 2>/dev/null | tr -d ' ')" = "$shell" ]
}

# stop_processes PATTERN: sends SIGTERM to the started processes whose names match,
# and waits for them. A process that still runs after STOP_LIMIT is killed.
stop_processes() {
  local item pid deadline=$((SECONDS + STOP_LIMIT)) pids=()
  for item in "${STARTED[@]}"; do
    pid=${item##*:}
    # shellcheck disable=SC2053 # The right side is a pattern on purpose.
    if [[ ${item%:*} == $1 ]] && is_child "$pid"; then
      kill -CONT "$pid"
      kill -TERM "$pid"
      pids+=("$pid")
    fi
  done
  for pid in "${pids[@]}"; do
    while is_child "$pid" && [ $SECONDS -lt $deadline ]; do sleep 0.1; done
    if is_child "$pid"; then kill -KILL "$pid"; fi
    wait "$pid" 2>/dev/null || true
  done
}

# stop_all_processes: stops all processes that start_process has started. Entry processes
# stop first, because they need the platform to leave the member view.
stop_all_processes() {
  local item
  for item in "${STARTED[@]}"; do
    if is_child "${item##*:}"; then kill -CONT "${item##*:}"; fi
  done
  stop_processes 'entry-*'
  stop_processes '*'
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds, and fails after the
# given time.
wait_for() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $deadline ]; then echo "timed out waiting for: $*" >&2; return 1; fi
    sleep 0.1
  done
}

# write_settings N ZONE: writes the settings file of entry process N.
write_settings() {
  local hash
  hash=$(printf %s "$TOKEN" | sha256sum | cut -d' ' -f1)
  cat >"$RUN/entry-$1.yaml" <<YAML
member: entry-$1
zone: $2
listen:
  callers: $(callers_address "$1")
  peers: 127.0.0.1:$((PORTS + 2100 + $1))
  admin: $(admin_address "$1")
  metrics: $(metrics_address "$1")
platform:
  url: http://$PLATFORM
  timeout: 1s
timeouts: {drain: 1s, stop: 10s}
operators:
  - {name: demo, token_sha256: $hash, roles: [admin]}
site:
  name: $SITE_NAME
${EXTRA_SETTINGS:-}
YAML
}

# start_entry N ZONE: writes the settings of entry process N and starts it.
start_entry() {
  write_settings "$1" "$2"
  start_process "entry-$1" "$BIN/peridotcrank" entry --settings "$RUN/entry-$1.yaml"
}

is_ready() { curl -fsS --max-time 1 "http://$(callers_address "$1")/-/ready"; }

# run_operator N ARGS...: runs an operator command against entry process N.
run_operator() {
  local n=$1
  shift
  "$BIN/peridotcrank" --server "http://$(admin_address "$n")" --token-file "$RUN/token" "$@"
}

# POOLS lists the pools of the site that run a service.
POOLS=(counterdesk stockroom webshop stalltill)

# print_services TIMEOUT: prints the services of the site, each with the given timeout.
print_services() {
  echo "services:"
  local pool
  for pool in "${POOLS[@]}"; do
    echo "  - {name: $pool, path_prefix: /$pool/, pool: $pool, timeout: $1, availability_target: 0.999}"
  done
}

# lists_member N ID: succeeds when entry process N lists a member.
lists_member() { run_operator "$1" member list | grep -q "$2"; }

# plan_has_ended N PLAN: succeeds when entry process N reports a plan as done.
plan_has_ended() { run_operator "$1" plan show "$2" | grep -qE "^State +done"; }

# reports_in_force N VERSION: succeeds when entry process N reports that the version is in
# force everywhere.
reports_in_force() { run_operator "$1" config status | grep -q "version $2: in force"; }
