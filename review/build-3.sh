#!/bin/bash
# Builds the program of the scripted cases of the third review into review/bin/.
set -eu
cd "$(dirname "$0")/cases-3"
mkdir -p ../bin
GOWORK=off go build -o ../bin/cases-3 .
