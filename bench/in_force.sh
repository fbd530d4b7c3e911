#!/usr/bin/env bash
# Starts nine entry instances in three zones, six upstreams and the platform stand-in as processes on
# loopback. Prints how long key grants and withdrawals take until they are in force on all nine entry
# instances, then the idle loopback traffic per entry instance and the idle resident memory.
# Usage: cargo build --release && bench/in_force.sh [COMMANDS] [IDLE_SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
commands=${1:-100}
idle_seconds=${2:-30}
source bench/processes.sh

start platform platform --addr 127.0.0.1:0
platform=$(address platform)
zones=(hobart-a hobart-b hobart-c)
for i in 0 1 2 3 4 5; do
  start "upstream-$i" upstream --id "runner-$i" --addr 127.0.0.1:0 --platform "$platform" \
    --pool loans --zone "${zones[$((i % 3))]}" --rack "rack-$i"
done
for i in 0 1 2 3 4 5 6 7 8; do
  cat >"$dir/entry-$i.ini" <<SETTINGS
[entry]
id = entry-$i
zone = ${zones[$((i % 3))]}
http_addr = 127.0.0.1:0
peer_addr = 127.0.0.1:0
platform_addr = $platform
entry_instances = 9
[log]
level = error
SETTINGS
  start "entry-$i" serve "$dir/entry-$i.ini"
done
entry_addr=$(address entry-0)
publish examples/derwent.ini "$entry_addr"

# Runs a command and prints how many milliseconds it took.
time_command() { # COMMAND...
  local from to
  from=$(date +%s%N); "$@" >"$dir/command.out"; to=$(date +%s%N)
  echo $(((to - from) / 1000000))
}
for _ in $(seq "$commands"); do
  time_command "$bin" key grant huts --at "$entry_addr" >>"$dir/grant"
  key=$(grep -oE 'k[0-9a-f-]+\.' "$dir/command.out" | head -n 1 | tr -d .)
  time_command "$bin" key withdraw "$key" --at "$entry_addr" >>"$dir/withdraw"
done
for action in grant withdraw; do
  sort -n "$dir/$action" | awk -v command="key $action" '{ v[NR] = $1 } END {
    p99 = int(NR * 0.99 + 0.999999)
    printf "%s in force on 9 entry instances: n %d, p50 %d ms, p99 %d ms, max %d ms\n",
      command, NR, v[int((NR + 1) / 2)], v[p99], v[NR] }'
done

sleep 20
# Prints the bytes received on loopback.
loopback_bytes() { awk '/lo:/ { sub(/.*lo:/, ""); print $1 }' /proc/net/dev; }
before=$(loopback_bytes); sleep "$idle_seconds"; after=$(loopback_bytes)
echo "loopback at rest, all processes: $(((after - before) / idle_seconds / 9)) bytes/s for each entry instance"
for i in 0 4 8; do
  pid=$(pgrep -f "entry-$i.ini" | head -n 1)
  awk -v i="$i" '/VmRSS/ { printf "entry-%s resident at rest: %.1f MB\n", i, $2 / 1024 }' "/proc/$pid/status"
done
