#!/usr/bin/env bash
# Runs the fault soak test with a range of seeds; prints the line of each run and a summary. Keeps the logs of runs with
# a breach.
# Usage: scripts/soak.sh FIRST_SEED LAST_SEED RUNS_AT_ONCE [options of fault-soak]
set -eu
cd "$(dirname "$0")/.."
first=$1
last=$2
at_once=$3
shift 3
scripts/build.sh >/dev/null
out=$(mktemp -d)
seq "$first" "$last" | xargs -P "$at_once" -I{} build/Tests/Faults/fault-soak --seed {} --keep "$out" "$@" >"$out/lines" || true
cat "$out/lines"
echo "$(wc -l <"$out/lines") runs, with a breach: $(grep -cv '"breaches":\[\]' "$out/lines" || true); lines and logs in $out"
