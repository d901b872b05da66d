#!/usr/bin/env bash
# builds the stand-ins of the review's scripts into target/; needs nothing but Go.
set -euo pipefail
cd "$(dirname "$0")/standins"
go build -o ../../target/review-standins .
