#!/usr/bin/env bash
# Plays the days of deploy/days and platform/days on the users' bench, one kind of trouble each,
# and prints a line a day. Exits with 1 when a day broke a rule or had a fault.
# A kind of trouble that the site does not know is listed as not played.
#
#   BENCH=/path/to/bench scripts/play-days.sh SITE [PATTERN] [JOBS]
#
# With SMALL=1 a day of a large site is played at a small size.
set -uo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?set BENCH to the path of the bench}"
site=${1:?name the site file}
pattern=${2:-*}
jobs=${3:-4}
results=$(mktemp -d)
export BENCH site results
export small=${SMALL:+--small}
# twin is the line of the site's first day that says how its small twin looks.
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
