#!/usr/bin/env bash
# Builds every stand-in that the cases 6 to 10 start. The project's programs come from the build of
# the deploy file. Needs no network: the stand-ins use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/stand_ins_2"
exec cargo build --release --locked --offline
