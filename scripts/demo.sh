#!/usr/bin/env bash
# Runs a small cluster of separate processes on loopback through a loss, a
# freeze, a drain and a change of the sheet under load, and counts what callers
# and servers saw. The last line is the result; the status is 1 when a promise
# was broken. Ends only the processes it started.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/bin
dir=$(mktemp -d)
pids=()
load_seconds=${DEMO_LOAD_SECONDS:-24}
rate=${DEMO_RATE:-300}

cleanup() {
  for p in "${pids[@]}"; do
    kill -CONT "$p" 2>/dev/null || true
    kill -KILL "$p" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "${DEMO_KEEP:-0}" = 1 ]; then echo "kept $dir" >&2; else rm -rf "$dir"; fi
}
trap cleanup EXIT

# await FILE PATTERN waits until a line of a log matches.
await() {
  for _ in $(seq 300); do
    if grep -qs "$2" "$1"; then return 0; fi
    sleep 0.1
  done
  echo "timed out: $2 in $1" >&2
  tail -n 20 "$1" >&2
  return 1
}

# field FILE NAME prints a field of the line daemon_started.
field() { grep daemon_started "$1" | tail -n 1 | grep -o " $2=[^ ]*" | cut -d= -f2; }

echo "starting the log service"
"$bin/burdockbench" log > "$dir/log.out" 2>&1 &
pids+=($!)
await "$dir/log.out" "log service on"
log_url="http://$(sed 's/^log service on //' "$dir/log.out" | head -n 1)"

public_key() { grep "^key,$1," examples/shared.csv | cut -d, -f13; }
cat > "$dir/daemon.yaml" <<YAML
host: {name: set-by-flag, region: set-by-flag, failure_domain: set-by-flag}
listen: {caller: "127.0.0.1:0", mesh: "127.0.0.1:0", local: "127.0.0.1:0", admin: "127.0.0.1:0"}
log_service: {url: "$log_url", poll_time: 1s}
mesh: {plain_text: true}
admin: {plain_text: true}
usage: {statement_every: 2s}
shutdown: {drain_timeout: 5s}
tenant_keys:
  - {name: siamsaw-1, tenant: siamsaw, public_key: "$(public_key siamsaw-1)"}
  - {name: thiruvalla-1, tenant: thiruvalla, public_key: "$(public_key thiruvalla-1)"}
YAML
"$bin/burdockd" -settings "$dir/daemon.yaml" -check-settings > /dev/null

regions=(central central north north south south)
domains=(bkk-a bkk-b cnx-a cnx-b hdy-a hdy-b)
pools=(catalog catalog catalog catalog stockroom stockroom stockroom bidding bidding payments jobdesk ledger)
daemon_pids=()
server_addrs=()
echo "starting 12 daemons with their backend servers in 3 regions"
for i in $(seq 0 11); do
  "$bin/burdockd" -settings "$dir/daemon.yaml" -host-name "h$i" \
    -host-region "${regions[$((i % 6))]}" -host-failure-domain "${domains[$((i % 6))]}" \
    > "$dir/daemon$i.out" 2>&1 &
  pids+=($!)
  daemon_pids+=($!)
done
callers=""
for i in $(seq 0 11); do
  await "$dir/daemon$i.out" daemon_started
  "$bin/burdockbench" backend -pool "${pools[$i]}" -name "s$i" \
    -daemon "$(field "$dir/daemon$i.out" local)" -journal "$dir/s$i.journal" > "$dir/server$i.out" 2>&1 &
  pids+=($!)
  callers="$callers,$(field "$dir/daemon$i.out" caller)"
done
for i in $(seq 0 11); do
  await "$dir/server$i.out" "backend server on"
  server_addrs+=("$(sed 's/^backend server on //' "$dir/server$i.out" | head -n 1)")
done
admin="http://$(field "$dir/daemon11.out" admin)"

for t in siamsaw thiruvalla; do
  install -m 600 "examples/demo-keys/$t-1.pem" "$dir/$t-1.pem"
  echo "applying the sheet of $t"
  "$bin/burdockctl" sheet apply -admin "$admin" -key "$t-1=$dir/$t-1.pem" -author "planner of $t" "examples/$t.csv"
done

echo "load: $rate requests/s for $load_seconds s"
"$bin/burdockbench" load -ready 30s -daemons "${callers#,}" -rate "$rate" -duration "${load_seconds}s" \
  -outcomes "$dir/outcomes.json" > "$dir/load.out" 2>&1 &
load_pid=$!
pids+=($load_pid)
await "$dir/load.out" "load started"

sleep 3
echo "SIGKILL to the daemon of h0 (catalog)"
kill -KILL "${daemon_pids[0]}"

sleep 5
echo "SIGSTOP to the daemon of h4 (stockroom)"
kill -STOP "${daemon_pids[4]}"
sleep 5
echo "SIGCONT to the daemon of h4"
kill -CONT "${daemon_pids[4]}"

sleep 2
echo "the backend server of h2 (catalog) drains"
curl -fsS -X POST -H 'Content-Type: application/json' -d '{"drain":true}' "http://${server_addrs[2]}/standin/v1/faults"

sleep 2
echo "a new sheet of siamsaw during the load"
sed '/^service,bidding/s/,2000,/,2500,/' examples/siamsaw.csv > "$dir/siamsaw2.csv"
started=$(date +%s%N)
"$bin/burdockctl" sheet apply -admin "$admin" -key "siamsaw-1=$dir/siamsaw-1.pem" \
  -author "planner of siamsaw" "$dir/siamsaw2.csv"
in_force_ms=$((($(date +%s%N) - started) / 1000000))

wait "$load_pid"
cat "$dir/load.out"

echo "SIGTERM to all daemons"
for i in $(seq 0 11); do kill -TERM "${daemon_pids[$i]}" 2>/dev/null || true; done
for i in $(seq 1 11); do
  if ! wait "${daemon_pids[$i]}"; then echo "daemon of h$i did not end cleanly" >&2; fi
done

verified=false
if "$bin/burdockctl" usage verify -log "$log_url"; then verified=true; fi
"$bin/burdockctl" usage report -log "$log_url"

"$bin/burdockbench" count -outcomes "$dir/outcomes.json" -journals "$dir" \
  -in-force-ms "$in_force_ms" -usage-verified="$verified"
