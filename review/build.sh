#!/bin/bash
# Builds the stand-ins that the scripts start. The deploy file builds the program itself.
set -e
cd "$(dirname "$0")/.."
GOPROXY=off GOFLAGS="${GOFLAGS:--buildvcs=false}" GOWORK="$PWD/review/go.work" go build -o target/review/ ./review/casebed
