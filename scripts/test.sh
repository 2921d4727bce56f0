#!/usr/bin/env bash
# Installs packages, builds, and runs the tests. Tests listed in KNOWN-RED.txt run separately and may fail.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh
red=""
if [ -f KNOWN-RED.txt ]; then
  red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -)
fi
if [ -n "$red" ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  ctest --test-dir build -R "^($red)\$" --output-on-failure || true
  ctest --test-dir build -E "^($red)\$" --output-on-failure
else
  ctest --test-dir build --output-on-failure
fi
