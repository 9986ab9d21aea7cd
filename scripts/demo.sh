#!/usr/bin/env bash
# Runs a whole deployment on loopback and prints what its callers got.
#
#   bash scripts/demo.sh [--deployment hsinchu|lagos]
#
# Builds release, starts the store, 16 entry instances and 36 backend servers in three failure
# domains, creates the classes, sends bounded load of all three services, stops what it started and
# prints one table. The last line is `demo: ok` or `demo: FAILED why`; the exit status matches.
# One-way delays are simulated by the stand-ins, in steps of a millisecond.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

deployment=hsinchu
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) deployment=${2:-}; shift 2 ;;
    --deployment=*) deployment=${1#*=}; shift ;;
    -h|--help) sed -n '2,9s/^# \{0,1\}//p' "$0"; exit 0 ;;
    *) echo "demo: FAILED unknown option $1"; exit 2 ;;
  esac
done

case "$deployment" in
  hsinchu) lookup=timetable filing=booking transfer=downloads server_delay=1ms caller_delay=1ms ;;
  lagos) lookup=registry filing=certificates transfer=dossiers server_delay=1ms caller_delay=3ms ;;
  *) echo "demo: FAILED unknown deployment $deployment"; exit 2 ;;
esac

why=
pids=()
dir=$(mktemp -d)

# Stops what was started, by process id, and prints the verdict as the last line.
finish() {
  local status=$? pid
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -9 "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$dir"
  if [ "$status" -eq 0 ]; then echo "demo: ok"; else echo "demo: FAILED ${why:-status $status}"; fi
  exit "$status"
}
trap finish EXIT
trap 'why=interrupted; exit 130' INT TERM

fail() { why=$1; exit 1; }

cargo build --release --quiet --bins --examples -p galenapath -p galenapath-dev || fail "build"
bin=target/release
began=$SECONDS
echo "demo-token-$RANDOM$RANDOM" >"$dir/token"

start store "$bin/examples/store"
store=$(address store listening) || fail "the store does not start"

# Backend servers: one process for each failure domain.
admins=()
for domain in 1 2 3; do
  servers=()
  add() { # SERVICE COUNT WORK: the domain's part of COUNT servers
    local n
    for n in $(seq "$2"); do
      [ $((n % 3 + 1)) -eq "$domain" ] || continue
      servers+=(--server "name=$1-$n,service=$1,domain=d$domain,work=$3,delay=$server_delay")
    done
  }
  add "$lookup" 20 exponential:4
  add "$filing" 10 exponential:8
  add "$transfer" 6 constant:5
  start "backends$domain" "$bin/examples/backend" --store "$store" --seed "$domain" "${servers[@]}"
  admin=$(address "backends$domain" "listening admin") || fail "backend servers do not start"
  admins+=(--admin "$admin")
done

# Entry instances: each has its own loopback IP, so that fixed ports do not collide.
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
entries=()
for n in $(seq 16); do
  cat >"$dir/entry$n.toml" <<TOML
[instance]
name = "entry-$n"
domain = "d$((n % 3 + 1))"

[listen]
callers = "$net.$n:7000"
peers = "$net.$n:7001"
operators = "$net.$n:7002"

[platform]
address = "$store"

[operators]
token_file = "$dir/token"

[log]
level = "warn"
TOML
  start "entry$n" "$bin/galenapath" --settings "$dir/entry$n.toml"
  entries+=(--entry "$net.$n:7000")
done

# create NAME ARGS...: the operators create a class; the instance may still be starting
create() {
  for _ in $(seq 50); do
    "$bin/galenactl" --instance "$net.1:7002" --token-file "$dir/token" class create "$@" \
      >"$dir/create.out" 2>&1 && return
    sleep 0.2
  done
  fail "class $1: $(tail -n 1 "$dir/create.out")"
}
create lookup --service "$lookup" --kind lookup --path / --latency-ms 50 --share 0.99
create filing --service "$filing" --kind filing --path / --latency-ms 100 --share 0.99
create transfer --service "$transfer" --kind transfer --path / --latency-ms 500 --share 0.99

status=0
"$bin/examples/load" "${entries[@]}" "${admins[@]}" --check --warm-up 20s \
  --duration 20s --delay "$caller_delay" \
  --class "name=lookup,service=$lookup,path=/sessions,rate=600,target_ms=50,reliability=0.99" \
  --class "name=filing,service=$filing,method=POST,path=/book,body=200,filing=true,rate=120,target_ms=100,reliability=0.99" \
  --class "name=transfer,service=$transfer,path=/map,bytes=2000000,rate=15,target_ms=500,reliability=0.99" \
  2>"$dir/problems" || status=$?
echo "deployment $deployment: 16 entry instances, 36 backend servers, $((SECONDS - began)) s"
[ "$status" -eq 0 ] || fail "$(paste -s -d ';' "$dir/problems")"
for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null || fail "a process ended early"; done
