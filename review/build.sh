#!/usr/bin/env bash
# Builds the stand-ins and the cases. Needs no network: all dependencies are those of the project.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
