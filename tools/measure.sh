#!/usr/bin/env bash
# Prints the measurements from which docs/CAPACITY.md is derived.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -run '^$' -bench 'Fold|Memory|Apply|Snapshot|Decide|NewPlan|Report|^BenchmarkOrder$' -benchtime 300ms ./core/record ./core/ledger ./core/settings ./core/route ./core/entry
go test -run '^$' -bench 'Submit|EmptyRead' -benchtime 300ms ./fleet/peer ./fleet/platformhttp
go test -run '^TestControlTraffic$' -v ./fleet/member -args -measure
