# Shared by the bench scripts: starts processes on loopback and ends them at exit. Source it from
# the root of the repository.
bin=target/release/jacinthhook
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$dir"' EXIT

# Starts a process and waits for its first line, which names its address.
start() { # NAME, ARGUMENTS...
  local name=$1; shift
  "$bin" "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
  pids+=($!)
  for _ in $(seq 200); do
    [ -s "$dir/$name.out" ] && return
    sleep 0.05
  done
  cat "$dir/$name.err" >&2
  exit 1
}

# Address that a started process names.
address() { grep -oE '127\.0\.0\.1:[0-9]+' "$dir/$1.out" | head -n 1; }

# Publishes declarations, again until the entry instance is ready.
publish() { # FILE, ADDRESS
  for _ in $(seq 100); do
    "$bin" publish "$1" --at "$2" --wait-ms 20000 >/dev/null 2>&1 && return
    sleep 0.2
  done
  echo "the entry instance at $2 takes no declarations" >&2
  exit 1
}
