#!/usr/bin/env bash
# Upgrades under load: nodes of an earlier commit are replaced one after the other by nodes of this work tree, and at odd
# seeds go back once before. Prints the line of each run and a summary, like scripts/soak.sh.
# Usage: scripts/upgrade.sh OLD_COMMIT FIRST_SEED LAST_SEED RUNS_AT_ONCE [options of fault-soak]
set -eu
cd "$(dirname "$0")/.."
old=$(git rev-parse --short "$1")
first=$2
last=$3
at_once=$4
shift 4
scripts/build.sh >/dev/null
source=build/upgrade/$old
if [ ! -e "$source/filbertreeld" ]; then
  rm -rf "$source"
  mkdir -p "$source"
  git archive "$old" | tar -x -C "$source"
  cmake -S "$source" -B "$source/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DFILBERTREEL_TESTS=OFF >/dev/null
  cmake --build "$source/build" --target filbertreeld >/dev/null
  cp "$source/build/Source/Filbertreeld/filbertreeld" "$source/filbertreeld"
fi
old_program=$source/filbertreeld
new_program=build/Source/Filbertreeld/filbertreeld
out=$(mktemp -d)
run_seed() {
  programs=$old_program,$new_program
  if [ $(($1 % 2)) -eq 1 ]; then
    programs=$old_program,$new_program,$old_program,$new_program
  fi
  build/Tests/Faults/fault-soak --seed "$1" --programs "$programs" --keep "$out" "${@:2}"
}
export -f run_seed
export old_program new_program out
seq "$first" "$last" | xargs -P "$at_once" -I{} bash -c 'run_seed "$@"' _ {} "$@" >"$out/lines" || true
cat "$out/lines"
echo "$(wc -l <"$out/lines") runs from $old, with a breach: $(grep -cv '"breaches":\[\]' "$out/lines" || true); lines and logs in $out"
