#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. They need nothing but Go.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
mkdir -p ../../target/review-2
go build -o ../../target/review-2/kit .
