#!/usr/bin/env bash
# The whole check: format, lints, tests, release build.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
cargo build --release --locked
cargo test --locked --workspace
