# Shared by the scripts here: starting programs in the background and finding their addresses.
# Expects `dir` (a directory for their output) and `pids` (an array of process ids).

# start NAME PROGRAM ARGS...: runs in the background, output to files; its process id goes to `pid`
start() {
  local name=$1; shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
  pid=$!
  pids+=("$pid")
}

# find_line FILE EXPRESSION: waits until sed finds something in FILE, and prints the first of it
find_line() {
  local found
  for _ in $(seq 200); do
    found=$(sed -n "$2" "$dir/$1" | head -n 1)
    [ -n "$found" ] && { echo "$found"; return; }
    sleep 0.05
  done
  echo "nothing found in $1" >&2
  return 1
}

# address NAME PREFIX: waits until NAME has printed `PREFIX ADDRESS`
address() { find_line "$1.out" "s/^$2 //p"; }
