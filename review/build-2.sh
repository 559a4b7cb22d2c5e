#!/bin/sh
# Builds the programs of the cases of the second review, with the stand-ins that they contain.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/rig-2/cmd/...
