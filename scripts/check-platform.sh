#!/usr/bin/env bash
# Keeps the product independent of the platform. Fails if a package other than the main
# packages of cmd imports the platform adapter or its stand-in, if platform names appear in
# internal or cmd, or if names of a user's deployment appear outside tests and
# internal/lab.
set -euo pipefail
cd "$(dirname "$0")/.."
imports=$(grep -rl '"github.com/beamdoor/beamdoor/\(platform\|standin\)' --include='*.go' internal cmd | grep -v '^cmd/[^/]*/main\.go$' || true)
names=$(grep -rlE 'BEAMDOOR_NODE_FILE|Beamdoor-(Attempt|Server|Instance|Not)|/-/(config|instances|readiness|evacuations)|seedNodes|trafficSplit|heartbeatUrl|warmupLeftMs|pathPrefix|routeType|callSeq|dataDir' --include='*.go' internal cmd || true)
deployments=$(grep -rliE 'patitas|swancoast|bluemahoe|agenda|documentos|corelog|coreimage|lookup-core|tile-depot|kgn-|uio-|osborne|malaga|canning|welshpool|bibra|joondalup|triage|slot-booking|cert-download|suggest-stream|verify-submit|tile-fetch|log-feed|interval-entry|box-photo|rvv|riga-|kilat|kul-[a-d]|status-svc|intake-svc|artifact-store|status-feed|approval-call|image-submit|log-tail|commit-hook|artifact-pull|tavoli|sicilia|scoresheet|pamoja|quiet-[0-9]|scale-[0-9]|trouble-[0-9]' --include='*.go' internal cmd platform standin deploy | grep -v -e '_test\.go$' -e '^internal/lab/' || true)
if [ -n "$imports$names$deployments" ]; then
  echo "imports the platform's adapter or its stand-in: ${imports:-none}"
  echo "holds the platform's names: ${names:-none}"
  echo "holds names of a users' deployment: ${deployments:-none}"
  exit 1
fi
