#!/usr/bin/env bash
# Builds the stand-ins and callers of the scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand/Cargo.toml \
    --target-dir target/review
