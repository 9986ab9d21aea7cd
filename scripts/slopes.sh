#!/usr/bin/env bash
# Measures how the cost of an instance grows with the fleet and writes tables and plots.
#
#   bash scripts/slopes.sh [DIRECTORY]
#
# Builds release and runs the shipped programs on loopback with 4 to 64 instances, then with 36 to
# 8,000 listed backend servers; about four minutes. DIRECTORY is docs/plots unless given. Needs `ss`.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet -j 4 --bins --examples -p galenapath -p galenapath-dev
exec target/release/examples/slopes --out "${1:-docs/plots}"
