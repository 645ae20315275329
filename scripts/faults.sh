#!/usr/bin/env bash
# Injects faults into real processes under load and checks every response: packet loss,
# duplication and reordering, a balancer and the control leader paused with SIGSTOP, the
# control leader killed and its disk wiped, the member replaced, and conflicting writes
# by two operators. Exits with 0 only if no invariant was violated.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN=run/faults
. scripts/fleet.sh
trap stop_fleet EXIT
trap "exit 1" TERM INT

# leader prints the ID of the control leader.
leader() { status_field leader_id; }

# status_field NAME prints the first numeric field of that name in the status.
status_field() {
  admin status -o json | tr -d ' \n' | grep -o "\"$1\":\"*[0-9]*" | head -1 | grep -o '[0-9]*$'
}

# pause_process NAME SECONDS suspends a process and then resumes it.
pause_process() {
  end "$1" STOP
  sleep "$2"
  end "$1" CONT
}

# race submits two writes with the same base revision; exactly one must be accepted.
race() {
  local base code_one=0 code_two=0 one two
  base=$(status_field revision)
  "$BIN/beamdoor" --control "$CONTROL_ADMIN" --author ana apply -f "$RUN/services.yaml" --base "$base" >/dev/null 2>&1 &
  one=$!
  "$BIN/beamdoor" --control "$CONTROL_ADMIN" --author ben apply -f "$RUN/services.yaml" --base "$base" >/dev/null 2>&1 &
  two=$!
  wait "$one" || code_one=$?
  wait "$two" || code_two=$?
  say "operators raced on revision $base: exit codes $code_one and $code_two"
  [ $((code_one + code_two)) -eq 3 ] || { say "BROKEN: not exactly one winner"; exit 1; }
}

start_fleet
say "driving load"
start caller "$BIN/beamdoor-lab" caller --booking "$BOOKING" --documents "$DOCUMENTS" \
  --boards 80 --rate 80 --visits 20 --downloads 2 --duration 60s --journals "$RUN" --most-unfinished 0.15
sleep 4

say "losing 1% of packets, doubling 1%, 2% overtaken"
"$BIN/beamdoor-lab" faults --loss 0.01 --duplicate 0.01 --reorder 0.02
sleep 6
"$BIN/beamdoor-lab" faults

say "stopping balancer 2 for 5 s"
pause_process balancer-2 5
race

first=$(leader)
say "stopping control leader $first for 4 s"
pause_process "control-$first" 4
sleep 3

lost=$(leader)
say "killing control leader $lost and wiping its disk"
end "control-$lost" KILL
await "control-$lost"
rm -rf "$RUN/control-$lost"
start_control "$lost"
sleep 3
race
grep -q "event=1016" "$RUN/control-$lost.log" || { say "BROKEN: the wiped member did not notice"; exit 1; }

say "replacing it by member 4"
end "control-$lost" KILL
{
  echo "id: 4"
  echo "data_folder: $RUN/control-4"
  members_yaml
  echo "  - {id: 4, peer: '127.0.0.1:7104', nodes: '127.0.0.1:7204', admin: '127.0.0.1:7304'}"
} >"$RUN/control-4.yaml"
start_control 4
sleep 1
admin member add 4 --peer 127.0.0.1:7104 --nodes 127.0.0.1:7204 --admin 127.0.0.1:7304
sleep 1
admin member promote 4
admin member remove "$lost"
race

say "report"
code=0
wait "${PIDS[caller]}" || code=$?
cat "$RUN/caller.out" "$RUN/caller.log"
exit "$code"
