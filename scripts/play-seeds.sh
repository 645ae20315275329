#!/usr/bin/env bash
# Runs scenarios (days) of the users' bench with several seeds each and prints the result
# line of each run, followed by its violations and failed gates.
#
#   BENCH=/path/to/bench scripts/play-seeds.sh SITE "DAY..." "SEED..." [JOBS] [WHY]
#
# DAY is the name of a standard scenario or a file of deploy/days or platform/days.
set -uo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?set BENCH to the path of the bench}"
site=${1:?name the site file}
days=${2:?name the days}
seeds=${3:?name the seeds}
jobs=${4:-4}
why=${5:-seeds $seeds: $(git log -1 --format=%s)}
results=$(mktemp -d)
export BENCH site results why

play() {
  "$BENCH" run "$site" "$1" --seed "$2" --jobs 1 --why "$why" > "$results/$(basename "$1" .toml)-$2" 2>&1
}
export -f play

for day in $days; do
  for seed in $seeds; do
    echo "$day $seed"
  done
done | xargs -P "$jobs" -L 1 bash -c 'play "$0" "$1"'
for day in $days; do
  name=$(basename "$day" .toml)
  for seed in $seeds; do
    grep -E "^$name |^BROKEN|^FAULT|: [A-Z]+ at |short of the gate|GATE failed" "$results/$name-$seed" | sed "s/^$name /$name seed $seed /" ||
      echo "$name seed $seed: no result, see $results/$name-$seed"
  done
done
