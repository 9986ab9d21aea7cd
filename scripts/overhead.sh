#!/usr/bin/env bash
# Measures what an entry instance adds to a lookup.
#
#   bash scripts/overhead.sh [OPTIONS of the overhead example, such as --rounds 5]
#
# Builds release and compares, in one run, direct calls to a stand-in of backend servers, a bare
# relay on monoio-http and an entry instance. Stops what it started by process id.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

cargo build --release --quiet --bins --examples -p galenapath -p galenapath-dev
bin=target/release
dir=$(mktemp -d)
pids=()
finish() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap finish EXIT


echo "token-$RANDOM$RANDOM" >"$dir/token"
start store "$bin/examples/store"
store=$(find_line store.out 's/^listening //p')
start backend "$bin/examples/backend" --store "$store" --slots 64 --work constant:0 --accept-time 0ms \
  --server name=b1,service=s,domain=d1
backend=$(find_line backend.out 's/^listening b1 //p')
start relay "$bin/examples/relay" --to "$backend"
relay_pid=$pid
relay=$(find_line relay.out 's/^listening //p')
cat >"$dir/entry.toml" <<TOML
[instance]
name = "e1"
domain = "d1"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
[platform]
address = "$store"
[operators]
token_file = "$dir/token"
TOML
start entry "$bin/galenapath" --settings "$dir/entry.toml"
entry_pid=$pid
callers=$(find_line entry.err 's/.* listening callers=\([^ ]*\).*/\1/p')
operators=$(find_line entry.err 's/.* operators=\([^ ]*\).*/\1/p')
"$bin/galenactl" --instance "$operators" --token-file "$dir/token" class create lookup \
  --service s --kind lookup --path / --latency-ms 50 >"$dir/create.out"

# An instance limits its connections to a backend server until it has found no other instance for ten
# seconds.
sleep 11
"$bin/examples/overhead" --host s --way "direct=$backend" --way "relay=$relay,$relay_pid" \
  --way "instance=$callers,$entry_pid" "$@"
