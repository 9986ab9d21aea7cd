#!/usr/bin/env bash
# Compares ways of choosing backend servers on the running programs.
#
#   bash scripts/compare.sh
#
# One run: the store and 20 backend servers of a lookup service in three failure domains are started
# once, one of the servers ten times as slow as the others. For each way in turn, and all of them
# twice, 16 entry instances are started, get the same lookups at 85% of the healthy servers'
# capacity, and are stopped. Prints one row for each turn.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

pids=()
dir=$(mktemp -d)
kill_all() {
  local pid
  for pid in "$@"; do kill -9 "$pid" 2>/dev/null || true; wait "$pid" 2>/dev/null || true; done
}
trap 'kill_all "${pids[@]}"; rm -rf "$dir"' EXIT

cargo build --release --quiet --bins --examples -p galenapath -p galenapath-dev
bin=target/release
echo "compare-token-$RANDOM" >"$dir/token"
start store "$bin/examples/store"
store=$(address store listening)

# 19 healthy servers with 6 slots and work of 20 ms on average: 5,700 requests a second.
rate=4845
servers=()
for n in $(seq 20); do
  servers+=(--server "name=s-$n,service=timetable,domain=d$((n % 3 + 1)),work=exponential:20,delay=1ms")
done
start backends "$bin/examples/backend" --store "$store" --seed 1 "${servers[@]}"
admin=$(address backends "listening admin")

# faults JSON: sets faults of backend servers
faults() {
  local host=${admin%:*} port=${admin#*:}
  exec 3<>"/dev/tcp/$host/$port"
  printf 'PUT /admin/faults HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%s' \
    "${#1}" "$1" >&3
  head -n 1 <&3 >/dev/null
  exec 3>&-
}
faults '{"server":"s-1","straggle_factor":10}'

net="127.$((RANDOM % 200 + 20))"
turn() { # CHOICE NUMBER
  local n entries=() own=()
  for n in $(seq 16); do
    cat >"$dir/entry.toml" <<TOML
[instance]
name = "entry-$2-$n"
domain = "d$((n % 3 + 1))"
[listen]
callers = "$net.$2.$n:7000"
peers = "$net.$2.$n:7001"
operators = "$net.$2.$n:7002"
[platform]
address = "$store"
[operators]
token_file = "$dir/token"
[log]
level = "error"
[limits]
drain_timeout = "2s"
[experiment]
choice = "$1"
TOML
    cp "$dir/entry.toml" "$dir/entry-$n.toml"
    start "entry-$n" "$bin/galenapath" --settings "$dir/entry-$n.toml"
    own+=("$pid")
    entries+=(--entry "$net.$2.$n:7000")
  done
  for _ in $(seq 50); do
    "$bin/galenactl" --instance "$net.$2.1:7002" --token-file "$dir/token" class create lookup \
      --service timetable --kind lookup --path / --latency-ms 500 >"$dir/create.out" 2>&1 && break
    grep -q "already" "$dir/create.out" && break
    sleep 0.1
  done
  "$bin/examples/load" "${entries[@]}" --warm-up 20s --duration 8s --delay 1ms --attempts 1 \
    --class "name=$1,service=timetable,path=/sessions,rate=$rate,target_ms=500" >"$dir/table"
  if [ "$2" = 1 ]; then head -n 1 "$dir/table"; fi
  tail -n +2 "$dir/table"
  # A planned stop, so that the next turn's instances do not find these on the platform's list.
  for n in "${own[@]}"; do kill "$n"; done
  for n in "${own[@]}"; do wait "$n" || true; done
}

number=0
for _ in 1 2; do
  for choice in random power_of_two least_in_flight galenapath; do
    number=$((number + 1))
    turn "$choice" "$number"
  done
done
