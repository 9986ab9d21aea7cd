#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, without a network.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --offline
