#!/usr/bin/env bash
# Runs all tests with the race detector. Tests named in KNOWN-RED.txt are
# skipped and printed; nothing else is passed over. Tests of crowds measure the
# memory of processes and run one after the other once all others are done. LONG=1 raises the number of
# histories that the property tests draw.
set -euo pipefail
cd "$(dirname "$0")/.."

checks=${RAPID_CHECKS:-200}
if [ "${LONG:-0}" = 1 ]; then
  checks=10000
  export BURDOCK_LONG=1
fi
export RAPID_CHECKS=$checks

skip=""
if [ -f KNOWN-RED.txt ]; then
  echo "known faults:"
  sed "s,^,  ," KNOWN-RED.txt
  skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|' -)
fi
crowds='^TestCrowd'
others=$crowds
if [ -n "$skip" ]; then
  echo "passed over: $skip"
  others="$crowds|^($skip)\$"
fi
go test -race -timeout 20m -skip "$others" ./...
exec go test -race -timeout 20m -run "$crowds" ${skip:+-skip "^($skip)\$"} ./platform
