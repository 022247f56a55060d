#!/usr/bin/env bash
# Plays the days of deploy/days on deployments, one line a day: BENCH is the users' bench,
# each SITE a site file, and SEEDS the seeds to play each day with.
#   SEEDS="1 2" tests/days/run.sh BENCH SITE...
set -euo pipefail
bench=$1
shift
folder=$(dirname "$0")/../../deploy/days
for site in "$@"; do
  echo "== $(basename "$site" .toml)"
  for day in "$folder"/*.toml; do
    for seed in ${SEEDS:-1}; do
      "$bench" run "$site" "$day" --seed "$seed" --why "own day $(basename "$day" .toml)" 2>&1 |
        grep -E "^($(basename "$day" .toml)|[A-Z]+ at|fleetbench:)" || echo "$(basename "$day"): no result"
    done
  done
done
