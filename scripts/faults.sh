#!/usr/bin/env bash
# Injects seeded faults into a cluster of real nodes. Prints one JSON line; exits with 1 when a check is breached.
# Usage: scripts/faults.sh --seed N --seconds S [--node-kills]
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
exec build/Tests/Faults/fault-driver "$@"
