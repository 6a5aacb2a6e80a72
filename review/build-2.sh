#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review-2" cargo build --release --locked --offline \
    --manifest-path review/standins-2/Cargo.toml
