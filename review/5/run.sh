#!/usr/bin/env bash
# Runs the case. Status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/leftserver ] && [ -x ../../target/burdockd ] || { echo "build first: the deploy file's build, and review/build.sh"; exit 2; }
exec ../bin/leftserver
