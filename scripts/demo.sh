#!/usr/bin/env bash
# Runs the Patitas deployment on loopback: applies a configuration, generates load,
# drains a target, kills a balancer, restarts the others one by one, prints a report
# and stops all processes. Exits with 0 only if no invariant was violated.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN=run/demo
. scripts/fleet.sh
trap stop_fleet EXIT
trap "exit 1" TERM INT

say "starting 3 control members, $BALANCERS balancers, $((BOOKING_TARGETS + DOCUMENT_TARGETS)) targets"
start_fleet
sleep 1.5

say "driving load"
start caller "$BIN/beamdoor-lab" caller --booking "$BOOKING" --documents "$DOCUMENTS" \
  --boards 120 --rate 150 --visits 30 --downloads 4 --duration 48s --journals "$RUN"
sleep 6

say "draining target booking-3"
admin drain booking booking-3
sleep 4

say "killing balancer quito-b1"
end balancer-1 KILL
sleep 6

say "rolling the other balancers"
for i in $(seq 2 "$BALANCERS"); do
  end "balancer-$i" TERM
  await "balancer-$i"
  start_balancer "$i"
  admin join "quito-b$i" --timeout 30s
done

say "status"
admin status
admin history --limit 5

say "report"
code=0
wait "${PIDS[caller]}" || code=$?
cat "$RUN/caller.out" "$RUN/caller.log"
exit "$code"
