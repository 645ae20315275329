#!/usr/bin/env bash
# Runs the scenarios (days) of deploy/days and platform/days on the users' bench and
# prints one line for each. Exits with 1 if a scenario violated an invariant or failed.
# A scenario whose kind of fault the site does not support is listed as not played.
#
#   BENCH=/path/to/bench scripts/play-days.sh SITE [PATTERN] [JOBS]
#
# SMALL=1 runs the scenarios of a large site at the reduced size that the site defines.
set -uo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?set BENCH to the path of the bench}"
site=${1:?name the site file}
pattern=${2:-*}
jobs=${3:-4}
results=$(mktemp -d)
export BENCH site results
export small=${SMALL:+--small}
# twin is the first "small" line of the site file, which defines the reduced size.
twin=$(grep -m1 '^small = ' "$site" || true)
export twin

play() {
  local name day
  name=$(basename "$1" .toml)
  day=$1
  if [ -n "$small" ]; then
    day="$results/$name.toml"
    awk -v twin="$twin" '{ print } /^labels = / { print twin }' "$1" > "$day"
  fi
  "$BENCH" run "$site" "$day" $small --jobs 1 --why "own day $name" > "$results/$name" 2>&1
  local line
  line=$(grep -E "^$name " "$results/$name" | head -1)
  if [ -z "$line" ] && grep -q "contract .* is not open" "$results/$name"; then
    echo "n/a   $name: this kind of trouble does not exist on the site"
    return
  fi
  if grep -qE "^(BROKEN|FAULT)|: [A-Z]+ at |GATE failed|BROKE" "$results/$name" || [ -z "$line" ]; then
    echo "RED   $name: ${line:-no result}"
    grep -E ": [A-Z]+ at |FAULT|fault|wrong" "$results/$name" | head -3 | sed 's/^/      /'
    return
  fi
  echo "green $line"
}
export -f play

find deploy/days platform/days -name "$pattern.toml" | sort | xargs -P "$jobs" -I {} bash -c 'play {}' | tee "$results/summary"
echo "$(grep -c ^green "$results/summary") green, $(grep -c ^RED "$results/summary") red, $(grep -c ^n/a "$results/summary") not played; outputs in $results"
! grep -q ^RED "$results/summary"
