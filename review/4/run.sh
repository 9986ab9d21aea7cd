#!/usr/bin/env bash
# A configuration splits its routes by weights that add up to a billion.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the release build of the deploy file and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review/release/heavy_weights
if [ ! -x "$program" ] || [ ! -x target/release/galenapath ]; then
  echo "build first: the command of deploy/system.toml, and review/build.sh"
  exit 2
fi
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
export TROUBLE="${TROUBLE:-1}"
# The program ends all processes that it starts, and writes record.txt.
"$program" "$here" "$temp" &
started=$!
interrupted() {
  kill "$started" 2>/dev/null
  [ -f "$temp/pids" ] && while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$temp/pids"
  exit 2
}
trap interrupted INT TERM
wait "$started"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
