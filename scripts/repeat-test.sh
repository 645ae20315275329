#!/usr/bin/env bash
# Runs tests repeatedly, optionally under CPU load, to find intermittent failures.
# Reports each failure with its seed and its log.
#
#   scripts/repeat-test.sh [-n RUNS] [-p BUSY] [-o DIR] PACKAGE TEST [FLAG...]
#
#   -n RUNS  number of runs (20)    -p BUSY  number of busy-loop processes (0)
#   -o DIR   folder for the logs of failed runs (run/repeat)
#   TEST     pattern as for go test -run; FLAG: extra test flag, such as -rapid.checks=1000
#
# Example: scripts/repeat-test.sh -n 50 -p 4 ./internal/edge 'TestLongWaitIsLogged$'
# Exits with 0 if no run failed, 1 if any failed and 2 on a usage error.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=20 busy=0 logs=run/repeat
while getopts n:p:o: option; do
  case $option in
    n) runs=$OPTARG ;;
    p) busy=$OPTARG ;;
    o) logs=$OPTARG ;;
    *) exit 2 ;;
  esac
done
shift $((OPTIND - 1))
[ $# -ge 2 ] || { sed -n '2,13s/^# \{0,1\}//p' "$0"; exit 2; }
package=$1 test=$2
shift 2
mkdir -p "$logs"
logs=$(cd "$logs" && pwd)
binary=$(mktemp "$logs/test.XXXXXX")
load=()
end() {
  for process in "${load[@]}"; do kill "$process" 2>/dev/null || true; done
  rm -f "$binary"
}
trap end EXIT
go test -c -o "$binary" "$package"
for ((number = 0; number < busy; number++)); do
  while :; do :; done &
  load+=($!)
done
# Tests read testdata relative to the package folder.
cd "$(go list -f '{{.Dir}}' "$package")"
failed=0
for ((run = 1; run <= runs; run++)); do
  log=$logs/run-$run.log
  if "$binary" -test.count=1 -test.run "$test" -test.v "$@" >"$log" 2>&1; then
    rm -f "$log"
    continue
  fi
  failed=$((failed + 1))
  echo "run $run failed: $log"
  grep -oE -- '-rapid\.seed=[0-9]+|seed[ =:]+[0-9]+' "$log" | sort -u | sed 's/^/  /' || echo "  no seed in the log"
  grep -E -- '^ *--- FAIL' "$log" | sed 's/^/  /' || true
done
echo "$failed of $runs runs failed beside $busy busy processes"
[ "$failed" -eq 0 ]
