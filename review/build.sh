#!/usr/bin/env bash
# Builds the stand-ins of the review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/kit"
GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/reviewkit .
