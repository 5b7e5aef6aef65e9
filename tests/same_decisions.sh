#!/usr/bin/env bash
# Shows that the decision module decides as it did at BASE: builds the simulator adapter of BASE and of this tree, feeds both
# the same seeded events (crates/decision_replay) and compares their replies byte for byte.
# usage: tests/same_decisions.sh BASE [SEEDS_PER_DEPLOYMENT]
set -euo pipefail
cd "$(dirname "$0")/.."
base=$(git rev-parse --verify --quiet "${1:?usage: tests/same_decisions.sh BASE [SEEDS_PER_DEPLOYMENT]}^{commit}")
folder="$PWD/target/same_decisions"
checkout="$folder/checkout"

# the path of the adapter program, as the deploy file of a tree names it
adapter() {
  sed -n 's/^sim = "exec \([^ "]*\)"$/\1/p' "$1/deploy/balancer.toml"
}

# builds the adapter of a tree into a target folder
build() {
  (cd "$1" && cargo build --quiet --release --locked --bin "$(basename "$(adapter "$1")")" --target-dir "$2")
}

mkdir -p "$folder"
if [ ! -x "$folder/$base" ]; then
  rm -rf "$checkout"
  mkdir -p "$checkout"
  git archive "$base" -- . ':(exclude)journal' | tar -x -C "$checkout"
  build "$checkout" "$folder/base"
  cp "$folder/base/release/$(basename "$(adapter "$checkout")")" "$folder/$base"
  rm -rf "$checkout"
fi
build "$PWD" "$PWD/target"
cargo run --quiet --release --locked -p decision_replay -- "$folder/$base" "$(adapter "$PWD")" "${2:-3}"
