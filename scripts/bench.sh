#!/usr/bin/env bash
# Benchmarks of a node: the time it adds to the first token at 200 requests a second, compared with calling the engine
# directly; CPU time per relayed token; memory when idle and per stream. Then the microbenchmarks of the decision code.
# Takes about two minutes.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
build/Benchmarks/relay-benchmark
build/Benchmarks/decision-benchmarks --benchmark_min_time=0.1 2>/dev/null
