#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin3"
GOWORK=off GOFLAGS=-mod=mod CGO_ENABLED=0 go build -buildvcs=false -o ../../target/review-standin3 .
