#!/usr/bin/env bash
# Runs the complete check: format, lints, documentation, release build, tests. The tests that
# KNOWN-RED.txt lists are run separately, are printed, and may fail.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --quiet --locked --workspace --no-deps
cargo build --release --locked
bash tests/known_red.sh
