#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
