#!/usr/bin/env bash
# Speed: what a node adds to the first token at 200 requests a second against the engine reached directly, processor time
# per relayed token, memory idle and per stream; then the decisions' benchmarks. Takes about two minutes.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
build/Benchmarks/relay-benchmark
build/Benchmarks/decision-benchmarks --benchmark_min_time=0.1 2>/dev/null
