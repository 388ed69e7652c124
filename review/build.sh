#!/usr/bin/env bash
# Builds the driver of the scripts: the stand-ins of the platform, the workers and the clients.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o bin/ ./cmd/reviewcase
