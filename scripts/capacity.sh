#!/usr/bin/env bash
# Measures for docs/CAPACITY.md how the cost of idle nodes grows with the number of nodes and of engines, on loopback,
# and runs the microbenchmarks of the decision code. Prints one JSON line per cluster, one per fitted slope, and the
# table of the benchmarks. Takes about five minutes.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
out=$(mktemp)
trap 'rm -f "$out"' EXIT
seconds=${SECONDS_PER_CLUSTER:-15}
# shellcheck disable=SC2086
build/Benchmarks/capacity-cluster "$seconds" ${CLUSTERS:-3 12 7 12 15 12 30 12 60 12 90 12 7 40 7 80} | tee "$out"
python3 scripts/fit_slopes.py "$out"
build/Benchmarks/decision-benchmarks --benchmark_min_time=0.1 2>/dev/null
