#!/usr/bin/env bash
# Scores the regression deployments on the users' bench and prints one line for each.
# Exits with 1 if a gate failed or a deployment gave no result.
#
#   BENCH=/path/to/bench scripts/regressions.sh FOLDER [JOBS]
#
# FOLDER is the root folder of the users' site files.
set -uo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?set BENCH to the path of the bench}"
folder=${1:?name the folder of the site files}
jobs=${2:-4}
sites="shifted/patitas-uio-now-grown
  large/patitas-uio-large large/swancoast-geo-large
  further/bluemahoe-cores further-grown/bluemahoe-cores-grown
  grown/patitas-uio-grown grown/swancoast-geo-grown"
failed=0
for site in $sites; do
  output=$("$BENCH" score "$folder/$site.toml" --jobs "$jobs" --why "regressions: $(git log -1 --format=%s)" 2>&1)
  gate=$(grep -oE '^GATE (passed|failed)' <<< "$output" || echo "no result")
  echo "$(basename "$site") $(grep -oE '^score .*\): [0-9.]+' <<< "$output" | grep -oE '[0-9.]+$') $gate $(grep -oE '^snapshot .*' <<< "$output")"
  [ "$gate" = "GATE passed" ] || failed=1
done
exit $failed
