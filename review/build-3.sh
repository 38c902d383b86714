#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15, after the build of the deploy file.
# They use the project's own library, which that build leaves in target/release.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/cases-3/main.rs \
    --extern cardamombridge=target/release/libcardamombridge.rlib \
    -L dependency=target/release/deps
