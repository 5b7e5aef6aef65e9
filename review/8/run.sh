#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case_program="$root/review/stand_ins_2/target/release/least_memory"
if [ ! -x "$case_program" ] || [ ! -x "$root/target/release/stilespan" ]; then
  echo "could not run: build the deploy file's programs and run review/build-2.sh" | tee "$here/record.txt"
  exit 2
fi
timeout -k 1 117 "$case_program" "$here" "$root"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
