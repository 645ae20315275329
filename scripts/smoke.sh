#!/usr/bin/env bash
# Runs a small deployment as separate processes under load, without faults. Exits
# with 0 only if no invariant was violated.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN=run/smoke
BALANCERS=3
BOOKING_TARGETS=4
DOCUMENT_TARGETS=2
. scripts/fleet.sh
trap stop_fleet EXIT
trap "exit 1" TERM INT

start_fleet
start caller "$BIN/beamdoor-lab" caller --booking "$BOOKING" --documents "$DOCUMENTS" \
  --boards 20 --rate 20 --visits 5 --downloads 1 --duration 8s --journals "$RUN"
code=0
wait "${PIDS[caller]}" || code=$?
cat "$RUN/caller.out" "$RUN/caller.log"
exit "$code"
