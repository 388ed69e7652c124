# Functions that start and stop the processes of a test run. Source this file.
# A process of the product starts no other process; these scripts do.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=${BIN:-"$ROOT/bin"}
RUN=${RUN:-$(mktemp -d)}
PIDS=()

# PORTS is the base number of all ports, so that runs on one machine do not collide.
PORTS=${PORTS:-20000}
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
  PIDS+=($!)
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

# stop_all ends what start began, by process ID.
stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
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
