#!/usr/bin/env bash
# Fails when an executable binary (ELF) is tracked, or a file over 1 MB outside docs and journal.
# A build output that is committed by mistake stays in the history for good.
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"

MAX_BYTES=1000000
# Both commands also fail for tracked files that are missing in the working tree.
binaries=$(git ls-files -z | xargs -0 -r grep -laP '^\x7fELF' 2>/dev/null || true)
large=$(git ls-files -z -- ':!docs' ':!journal' | xargs -0 -r sh -c 'find "$@" -maxdepth 0 -size +'"$MAX_BYTES"c sh 2>/dev/null || true)
if [ -n "$binaries$large" ]; then
  printf 'tracked executable binaries:\n%s\ntracked files over %s bytes:\n%s\n' "$binaries" "$MAX_BYTES" "$large"
  exit 1
fi
