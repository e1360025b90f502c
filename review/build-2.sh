#!/bin/bash
# Builds what the scripts of the cases 6 to 10 start beside the program, which the deploy file builds.
set -e
cd "$(dirname "$0")/.."
GOPROXY=off GOFLAGS="${GOFLAGS:--buildvcs=false}" GOWORK="$PWD/review/go-2.work" go build -o target/review-2/ ./review/bed
