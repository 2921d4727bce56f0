#!/usr/bin/env bash
# Builds the programs of the third review's cases into target/review-3/. Needs no network and no package beside those of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for part in Stage Crowd; do
  g++ -std=c++20 -O1 -c "review/common-3/$part.cpp" -o "target/review-3/$part.o"
done
for case in review/1[1-5]/Case.cpp; do
  [ -e "$case" ] || continue
  name=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 "$case" target/review-3/Stage.o target/review-3/Crowd.o -o "target/review-3/case-$name" -pthread
done
