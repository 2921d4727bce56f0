#!/usr/bin/env bash
# Seeded faults against real nodes: scripts/faults.sh --seed N --seconds S [--node-kills]. One JSON line; exits 1 on a breach.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
exec build/Tests/Faults/fault-driver "$@"
