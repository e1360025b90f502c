#!/bin/sh
# Builds the stand-ins and cases of review/11 to review/15 that are scripts, into target/.
set -e
cd "$(dirname "$0")/.."
GOWORK=off GOPROXY=off GOFLAGS= go build -C review/bed3 -o ../../target/bed3 .
