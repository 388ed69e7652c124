#!/usr/bin/env bash
# Plays the case against processes of the program under test. Exits with 1 if the rule was broken, 0 if it held and 2
# if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/reviewcase ] && [ -x target/peridotcrank ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
exec timeout --preserve-status --signal=TERM 118 review/bin/reviewcase -binary target/peridotcrank -record review/5/record.txt removed-queue-attempts
