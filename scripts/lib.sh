# Functions that start and stop the processes of a test run. Source this file.
# A process of the product starts no other process; these scripts do.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=${BIN:-"$ROOT/bin"}
RUN=${RUN:-$(mktemp -d)}
# Processes that start began: NAME:PID.
STARTED=()
# Longest time for the graceful stop of a process, in seconds.
STOP_LIMIT=15

# PORTS is the first of the ports in use, of which there are 2,400.
PORTS=${PORTS:-20000}
if [ $((PORTS + 2400)) -gt 32767 ]; then
  # From 32768 on, the system gives ports to outgoing connections.
  echo "PORTS=$PORTS is too high: the last port must be below 32768" >&2
  exit 2
fi
PLATFORM=127.0.0.1:$((PORTS + 1))
CONTROL=127.0.0.1:$((PORTS + 2))
BASE_PORT=$((PORTS + 1000))
TOKEN=demo-operator-token-0123456789abcdef

callers_of() { echo "127.0.0.1:$((PORTS + 2000 + $1))"; }
admin_of() { echo "127.0.0.1:$((PORTS + 2200 + $1))"; }
metrics_of() { echo "127.0.0.1:$((PORTS + 2300 + $1))"; }

# start NAME COMMAND...: runs a command in the background with its output in $RUN/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  STARTED+=("$name:$!")
  echo $! >"$RUN/$name.pid"
}

pid_of() { cat "$RUN/$1.pid"; }

# alive NAME: fails when a command that start began has ended. Another run on
# the same ports would answer in its place.
alive() {
  kill -0 "$(pid_of "$1")" 2>/dev/null && return
  echo "$1 has ended: $(tail -n 1 "$RUN/$1.log")" >&2
  return 1
}

# is_ours PID: whether a process is a child of this shell. An ID of a process
# that has ended may belong to another one.
is_ours() {
  local shell=$BASHPID
  [ "$(ps -o ppid= -p "$1" 2>/dev/null | tr -d ' ')" = "$shell" ]
}

# stop_matching PATTERN: ends the processes whose names match, by ID, and waits
# for them. A process that outlasts the limit is killed.
stop_matching() {
  local item pid deadline=$((SECONDS + STOP_LIMIT)) pids=()
  for item in "${STARTED[@]}"; do
    pid=${item##*:}
    # shellcheck disable=SC2053 # The pattern is meant to match.
    if [[ ${item%:*} == $1 ]] && is_ours "$pid"; then
      kill -CONT "$pid"
      kill -TERM "$pid"
      pids+=("$pid")
    fi
  done
  for pid in "${pids[@]}"; do
    while is_ours "$pid" && [ $SECONDS -lt $deadline ]; do sleep 0.1; done
    if is_ours "$pid"; then kill -KILL "$pid"; fi
    wait "$pid" 2>/dev/null || true
  done
}

# stop_all ends what start began: first the entry processes, which need the
# platform for leaving the member view.
stop_all() {
  local item
  for item in "${STARTED[@]}"; do
    if is_ours "${item##*:}"; then kill -CONT "${item##*:}"; fi
  done
  stop_matching 'entry-*'
  stop_matching '*'
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $deadline ]; then echo "timed out waiting for: $*" >&2; return 1; fi
    sleep 0.1
  done
}

# write_settings N ZONE: settings of entry process N.
write_settings() {
  local hash
  hash=$(printf %s "$TOKEN" | sha256sum | cut -d' ' -f1)
  cat >"$RUN/entry-$1.yaml" <<YAML
member: entry-$1
zone: $2
listen:
  callers: $(callers_of "$1")
  peers: 127.0.0.1:$((PORTS + 2100 + $1))
  admin: $(admin_of "$1")
  metrics: $(metrics_of "$1")
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

# start_entry N ZONE
start_entry() {
  write_settings "$1" "$2"
  start "entry-$1" "$BIN/peridotcrank" entry --settings "$RUN/entry-$1.yaml"
}

ready() { curl -fsS --max-time 1 "http://$(callers_of "$1")/-/ready"; }

# operator N ARGS...: runs an operator's command against entry process N.
operator() {
  local n=$1
  shift
  "$BIN/peridotcrank" --server "http://$(admin_of "$n")" --token-file "$RUN/token" "$@"
}

# POOLS are the pools of the site that run a service.
POOLS=(counterdesk stockroom webshop stalltill)

# write_services TIMEOUT: the site's services with a timeout.
write_services() {
  echo "services:"
  local pool
  for pool in "${POOLS[@]}"; do
    echo "  - {name: $pool, path_prefix: /$pool/, pool: $pool, timeout: $1, availability_target: 0.999}"
  done
}

# has_member N ID: whether entry process N lists a member.
has_member() { operator "$1" member list | grep -q "$2"; }

# plan_done N PLAN: whether a plan has ended.
plan_done() { operator "$1" plan show "$2" | grep -qE "^State +done"; }

# in_force N VERSION: whether entry process N reports the version in force everywhere.
in_force() { operator "$1" config status | grep -q "version $2: in force"; }
