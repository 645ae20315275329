#!/usr/bin/env bash
# A short run of the whole set-up as separate processes, without faults. Exits
# 0 only if no rule was broken.
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
