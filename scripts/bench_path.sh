#!/usr/bin/env bash
# Compares an entry process with all guarantees enabled to direct requests to the backend
# server and to httputil.ReverseProxy, in one run, and prints a Markdown table.
set -euo pipefail
export PORTS=${PORTS:-14000}
SITE_NAME=wa-south
source "$(dirname "$0")/lib.sh"
trap stop_all_processes EXIT
printf %s "$TOKEN" >"$RUN/token"
chmod 600 "$RUN/token"
TARGET=127.0.0.1:$((PORTS + 1000))
PROXY=127.0.0.1:$((PORTS + 3))
ROUNDS=${ROUNDS:-3}

start_process backend "$BIN/testbed" backend --site quokka --base-port $((PORTS + 1000)) --control "$CONTROL" --service-time 0s --connections 2048
wait_for 10 curl -fsS "http://$CONTROL/v1/runs"
start_process platform "$BIN/testbed" platform --site quokka --base-port $((PORTS + 1000)) --listen "$PLATFORM" --control "$CONTROL"
wait_for 10 curl -fsS "http://$PLATFORM/v1/vms"
start_process proxy "$BIN/testbed" proxy --listen "$PROXY" --target "$TARGET"
# With no pause between requests, the claim window holds far more keys than in production.
EXTRA_SETTINGS="limits: {claims: 4000000}"
start_entry 1 wa-south-a
wait_for 10 curl -s "http://$(admin_address 1)/v1/members"
cat >"$RUN/services.yaml" <<YAML
services:
  - {name: counterdesk, path_prefix: /counterdesk/, pool: counterdesk, timeout: 5s, max_queue: 2000, availability_target: 0.999}
YAML
run_operator 1 config set "$RUN/services.yaml" >/dev/null
wait_for 20 is_ready 1

measure_path() { "$BIN/testbed" press --name "$1" --url "http://$2/counterdesk/orders" "${@:3}"; }

cat <<'TEXT'
# Whole path against the backend server and httputil.ReverseProxy

Written by `make bench-path` (`scripts/bench_path.sh`): one entry process in a site of its own with all guarantees on, a backend
server that answers at once, and `httputil.ReverseProxy` with 1,024 idle connections, all on one machine with the client. At a
fixed rate, latency counts from the intended start.

TEXT
echo "Load average before: $(cut -d' ' -f1-3 /proc/loadavg); cores: $(nproc); $ROUNDS rounds."
echo
echo "| Path | Connections | Rate a second | Requests a second | Failed | p50 µs | p99 µs | p99.9 µs |"
echo "|---|---|---|---|---|---|---|---|"
# HALF is half of the rate that the baseline reaches at 64 connections.
HALF=${HALF:-8000}
for _ in $(seq "$ROUNDS"); do
  measure_path "direct" "$TARGET" --connections 64 --rate "$HALF"
  measure_path "ReverseProxy" "$PROXY" --connections 64 --rate "$HALF"
  measure_path "entry process, GET" "$(callers_address 1)" --connections 64 --rate "$HALF"
  measure_path "entry process, keyed POST" "$(callers_address 1)" --connections 64 --rate "$HALF" --keyed
done
for connections in 1 64 512; do
  for _ in $(seq "$ROUNDS"); do
    measure_path "direct" "$TARGET" --connections "$connections"
    measure_path "ReverseProxy" "$PROXY" --connections "$connections"
    measure_path "entry process, GET" "$(callers_address 1)" --connections "$connections"
    measure_path "entry process, keyed POST" "$(callers_address 1)" --connections "$connections" --keyed
  done
done
