#!/usr/bin/env bash
# Measures requests per second and latency with 64 connections, directly to the upstream stand-in and
# through one entry instance, alternating for ROUNDS rounds. A final open-loop run sends RATE requests
# per second.
# Usage: cargo build --release && bench/throughput.sh [ROUNDS] [RATE]
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-5}
rate=${2:-12000}
source bench/processes.sh

start platform platform --addr 127.0.0.1:0
start upstream upstream --id u1 --addr 127.0.0.1:0 --platform "$(address platform)" \
  --pool p --zone z --rack r --slots 64 --connections 256
cat >"$dir/entry.ini" <<SETTINGS
[entry]
id = e1
zone = z
http_addr = 127.0.0.1:0
peer_addr = 127.0.0.1:0
platform_addr = $(address platform)
entry_instances = 1
[limits]
worker_threads = 4
upstream_connections = 256
[log]
level = error
SETTINGS
cat >"$dir/declarations.ini" <<DECLARATIONS
[zone z]
region = r
[team t]
share = 1
limit = 1000
[pool p]
min_instances = 1
[profile q]
reserve_percent = 90
queue_bound = 1000
[service s]
profile = q
pool = p
open_to = t
class = urgent
DECLARATIONS
start entry serve "$dir/entry.ini"
publish "$dir/declarations.ini" "$(address entry)"
# Waits until the entry instance has units and has probed the upstream.
for _ in $(seq 100); do
  "$bin" load /s/s/x --at "$(address entry)" --connections 1 --duration-ms 100 | grep -q ' 0.0 ' || break
  sleep 0.2
done
for _ in $(seq "$rounds"); do
  "$bin" load /x --at "$(address upstream)" --connections 64 --duration-ms 3000 | tail -n 1
  "$bin" load /s/s/x --at "$(address entry)" --connections 64 --duration-ms 3000 | tail -n 1
done
echo "open loop at $rate requests/s, direct and through:"
"$bin" load /x --at "$(address upstream)" --connections 64 --rate "$rate" --duration-ms 3000 | tail -n 1
"$bin" load /s/s/x --at "$(address entry)" --connections 64 --rate "$rate" --duration-ms 3000 | tail -n 1
