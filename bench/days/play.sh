#!/usr/bin/env bash
# Runs the days of this folder on a site:
#   bench/days/play.sh PROGRAM SITE WHY [DAY...]
# PROGRAM is the benchmark program, SITE a site file, WHY the reason for the journal.
# Without DAY, all days of this folder are run, one after the other.
set -euo pipefail
if [ "$#" -lt 3 ]; then
  sed -n '2,5s/^# //p' "$0" >&2
  exit 2
fi
program=$1
site=$2
why=$3
shift 3
folder=$(dirname "$0")
days=("$@")
[ "$#" -gt 0 ] || days=("$folder"/*.toml)
failed=0
for day in "${days[@]}"; do
  "$program" run "$site" "$day" --why "$why: $(basename "$day")" | head -n 4 ||
    failed=1
done
exit "$failed"
