#!/usr/bin/env bash
# Measures of the decisions on a virtual clock: scripts/measure.sh --profile authority|guild --seed N [--policy NAME].
# One JSON line, the same for the same seed. scripts/measure.sh --report runs all policies over 20 seeds.
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
