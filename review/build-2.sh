#!/usr/bin/env bash
# builds the stand-ins of the second review's scripts; run it after the build of the deploy file.
# It needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin2"
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -o ../../target/review2/standin2 .
