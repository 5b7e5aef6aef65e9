#!/usr/bin/env bash
# 60 MB bodies that hold no form, at the front for files: the router's memory against its limit.
# TROUBLE=0 does the same without the disruption. Writes record.txt beside this script. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
case=$root/review/stand_ins/target/release/formless_bodies
for program in "$case" "$root/target/release/stilespan"; do
  if [ ! -x "$program" ]; then
    echo "${program#"$root"/} is missing: run the deploy file's build and review/build.sh" >&2
    exit 2
  fi
done
export TROUBLE=${TROUBLE:-1}
exec "$case" "$root" "$here" # writes $here/record.txt
