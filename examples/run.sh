#!/usr/bin/env bash
# Runs one example deployment whole on loopback: stand-ins, eight entry daemons, and
# callers that play its request mix. Prints the callers' report; stops everything.
#
#   examples/run.sh inkbridge|bakery [SECONDS] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:?usage: examples/run.sh inkbridge|bakery [SECONDS] [SEED]}
seconds=${2:-10}
seed=${3:-1}
example=examples/$name
# shellcheck source=/dev/null
source "$example/addresses.sh"
cargo build --release --quiet
bin=${CARGO_TARGET_DIR:-target}/release
mkdir -p run
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop EXIT
"$bin/willow-standin" platform --listen "$platform" --vms "$example/vms.json" & pids+=($!)
"$bin/willow-standin" engines "${engines[@]}" & pids+=($!)
"$bin/willow-standin" plain "${plain[@]}" & pids+=($!)
for number in 1 2 3 4 5 6 7 8; do
  "$bin/willowarchd" --settings "$example/settings/$number.json" 2>"run/$name-$number.log" & pids+=($!)
done
for _ in $(seq 50); do
  "$bin/willowctl" --api "$platform" apply "$example/table.json" >/dev/null 2>&1 && break
  sleep 0.2
done
# The balancer would ask /healthz; so does this loop.
for daemon in "${daemons[@]}"; do
  for _ in $(seq 100); do
    exec 3<>"/dev/tcp/${daemon%:*}/${daemon#*:}" 2>/dev/null || { sleep 0.1; continue; }
    printf 'GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n' >&3
    if head -1 <&3 | grep -q ' 200 '; then break; fi
    sleep 0.1
  done
done
"$bin/willow-standin" callers "${daemons[@]}" --mix "$example/mix.json" --cloud "$platform" \
  --seconds "$seconds" --seed "$seed"
