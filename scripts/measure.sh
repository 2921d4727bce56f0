#!/usr/bin/env bash
# Simulates the routing decisions on a virtual clock and prints one JSON line, which is the same for the same seed.
# Usage: scripts/measure.sh --profile authority|guild --seed N [--policy NAME]
#        scripts/measure.sh --report    (all policies, 20 seeds each, as a table)
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
if [ "${1:-}" != --report ]; then
  exec build/Benchmarks/measure "$@"
fi
for profile in authority guild; do
  for policy in cheapest no-admission round-robin least-reported nearest; do
    seq 101 120 | xargs -P 4 -I{} build/Benchmarks/measure --profile $profile --policy $policy --seed {}
  done
done | python3 scripts/report_measures.py
