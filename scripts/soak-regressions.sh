#!/usr/bin/env bash
# Replays the seeds of scripts/soak-seeds.txt one after the other. Exits with 1 if
# any of them fails.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
played=0
while read -r seed minutes setup kinds _; do
  case $seed in "" | \#*) continue ;; esac
  [ "$kinds" = all ] && kinds=
  played=$((played + 1))
  bin/beamdoor-lab soak --seed "$seed" --minutes "$minutes" --setup "$setup" --kinds "$kinds" --report run/soak || failed=$((failed + 1))
done <scripts/soak-seeds.txt
echo "$played seeds played, $failed failed"
[ "$failed" = 0 ]
