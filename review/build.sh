#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/cases/...
