#!/usr/bin/env bash
# Format and lint of all files of ours; generated code is left out.
set -eu
cd "$(dirname "$0")/.."
files=$(git ls-files '*.cpp' '*.h' | grep -v '\.pb\.')
# shellcheck disable=SC2086
clang-format --dry-run --Werror $files
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
git ls-files 'Source/*.cpp' 'platform/*.cpp' | grep -v '/Tests/' | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build 2>/dev/null
generated=$(mktemp -d)
protoc --proto_path=Source/Core/Protocol --cpp_out="$generated" peer.proto
cmp "$generated/peer.pb.h" Source/Core/Protocol/peer.pb.h
cmp "$generated/peer.pb.cc" Source/Core/Protocol/peer.pb.cc
rm -r "$generated"
# Names of the platform's wire stay in platform/: everything else speaks of the product's own types.
if git grep -nE 'X-Filbertreel-|/v1/(rows|blob|kv|hold|report|resolve|readyz)|Kv-(From|Fetch)|apiKeys|trafficSplit|coldRemainingMs' -- 'Source/*.cpp' 'Source/*.h'; then
  echo "names of the platform's wire outside platform/" >&2
  exit 1
fi
echo "style: clean"
