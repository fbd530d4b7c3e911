# Helpers of the bench scripts: start processes on loopback and end them when the script exits.
# Source this file from the root of the repository.
bin=target/release/jacinthhook
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$dir"' EXIT

# Starts a process and waits up to 10 s for its first line of output, which contains its address.
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

# Prints the address of a started process.
address() { # NAME
  grep -oE '127\.0\.0\.1:[0-9]+' "$dir/$1.out" | head -n 1
}

# Publishes declarations; retries until the entry instance is ready.
publish() { # FILE, ADDRESS
  for _ in $(seq 100); do
    "$bin" publish "$1" --at "$2" --wait-ms 20000 >/dev/null 2>&1 && return
    sleep 0.2
  done
  echo "the entry instance at $2 takes no declarations" >&2
  exit 1
}
