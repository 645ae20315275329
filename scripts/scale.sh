#!/usr/bin/env bash
# Measures what nodes and control members spend at several sizes: for each size
# fresh control members, two real balancers and hollow balancers in one
# process. The measurements go to run/scale/scale.csv, their fit to the screen.
# Usage: scripts/scale.sh [nodes ...]; PROBED=n has n targets asked for their
# load, CHANGES=n makes n changes.
set -euo pipefail
cd "$(dirname "$0")/.."
ROOT=run/scale
BALANCERS=2
BOOKING_TARGETS=0
DOCUMENT_TARGETS=0
RUN=$ROOT/fleet
. scripts/fleet.sh
trap stop_fleet EXIT
trap "exit 1" TERM INT

SIZES=("$@")
[ ${#SIZES[@]} -gt 0 ] || SIZES=(500 1000 2000)
CSV=${CSV:-$ROOT/scale.csv}
PROBED=${PROBED:-0}
CHANGES=${CHANGES:-20}
mkdir -p "$ROOT"
[ -n "${KEEP:-}" ] || rm -f "$CSV"

for nodes in "${SIZES[@]}"; do
  services=${SERVICES:-$((nodes * 11000 / 6100))}
  targets=${TARGETS:-$((nodes * 36000 / 6100))}
  say "$nodes nodes, $services services, $targets targets, $PROBED probed"
  rm -rf "$RUN"
  mkdir -p "$RUN"
  write_settings
  for i in 1 2 3; do start_control "$i"; done
  for i in $(seq 1 "$BALANCERS"); do start_balancer "$i"; done
  sleep 3
  "$BIN/beamdoor-lab" scale --hollow "$nodes" --services "$services" --targets "$targets" \
    --changes "$CHANGES" --probed "$PROBED" --csv "$CSV"
  stop_fleet
done
[ -n "${KEEP:-}" ] || "$BIN/beamdoor-lab" scale fit --csv "$CSV" --over "${OVER:-Nodes}" --target "${TARGET:-6100}" \
  --plot "$ROOT/scale.svg" --columns LeaderCore,FollowerCore
