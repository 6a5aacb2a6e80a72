#!/usr/bin/env bash
# Builds the stand-ins of the review, without a network: their packages are those of the workspace.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
