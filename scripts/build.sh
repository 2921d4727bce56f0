#!/usr/bin/env bash
# Builds everything into build/.
set -eu
cd "$(dirname "$0")/.."
scripts/install.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build
