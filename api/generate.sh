#!/bin/sh
# Generates the Go code of the APIs; its output is committed.
# Needs protoc, protoc-gen-go and protoc-gen-connect-go on the PATH.
set -eu
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=paths=source_relative \
  --connect-go_out=. --connect-go_opt=paths=source_relative \
  beamdoor/v1/config.proto beamdoor/v1/admin.proto beamdoor/v1/target.proto \
  beamdoor/lab/v1/lab.proto
