#!/usr/bin/env bash
# Checks formatting and runs the linter on all source files except generated code, and checks that the committed
# generated code matches its .proto file.
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
# Names of the platform's wire format may occur only in platform/, which decodes them into the product's own types.
if git grep -nE 'X-Filbertreel-|/v1/(rows|blob|kv|hold|report|resolve|readyz)|Kv-(From|Fetch)|apiKeys|trafficSplit|coldRemainingMs' -- 'Source/*.cpp' 'Source/*.h'; then
  echo "names of the platform's wire outside platform/" >&2
  exit 1
fi
echo "style: clean"
