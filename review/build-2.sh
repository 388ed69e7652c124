#!/usr/bin/env bash
# Builds the program that plays the scripted cases of the second review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/cases-2"
GOWORK=off go build -o ../bin/cases-2 .
