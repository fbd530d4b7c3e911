#!/usr/bin/env bash
# Nine entry instances in three zones, six upstreams and the platform stand-in, as processes on
# loopback. Prints how long key grants and withdrawals take until they are in force on all nine, the
# resident memory at rest, and the loopback traffic at rest for one entry instance.
# Usage: cargo build --release && bench/in_force.sh [COMMANDS] [REST_SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
commands=${1:-100}
rest=${2:-30}
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
at=$(address entry-0)
publish examples/derwent.ini "$at"

one() { # prints the milliseconds that a command took
  local from to
  from=$(date +%s%N); "$@" >"$dir/command.out"; to=$(date +%s%N)
  echo $(((to - from) / 1000000))
}
for _ in $(seq "$commands"); do
  one "$bin" key grant huts --at "$at" >>"$dir/grant"
  key=$(grep -oE 'k[0-9a-f-]+\.' "$dir/command.out" | head -n 1 | tr -d .)
  one "$bin" key withdraw "$key" --at "$at" >>"$dir/withdraw"
done
for what in grant withdraw; do
  sort -n "$dir/$what" | awk -v what="key $what" '{ v[NR] = $1 } END {
    p99 = int(NR * 0.99 + 0.999999)
    printf "%s in force on 9 entry instances: n %d, p50 %d ms, p99 %d ms, max %d ms\n",
      what, NR, v[int((NR + 1) / 2)], v[p99], v[NR] }'
done

sleep 20
bytes() { awk '/lo:/ { sub(/.*lo:/, ""); print $1 }' /proc/net/dev; }
before=$(bytes); sleep "$rest"; after=$(bytes)
echo "loopback at rest, all processes: $(((after - before) / rest / 9)) bytes/s for each entry instance"
for i in 0 4 8; do
  pid=$(pgrep -f "entry-$i.ini" | head -n 1)
  awk -v i="$i" '/VmRSS/ { printf "entry-%s resident at rest: %.1f MB\n", i, $2 / 1024 }' "/proc/$pid/status"
done
