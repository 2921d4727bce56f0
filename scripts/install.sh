#!/usr/bin/env bash
# Installs the packages that the build, the tests and the demonstration need. Does nothing when all are installed.
set -eu
packages="python3 g++ cmake ninja-build clang-format clang-tidy curl ca-certificates librestinio-dev libasio-dev libzmq3-dev
  cppzmq-dev libprotobuf-dev protobuf-compiler libboost-dev libcli11-dev liblog4cplus-dev libexpected-dev libcpputest-dev
  libcurl4-openssl-dev libssl-dev nlohmann-json3-dev libxxhash-dev libfmt-dev libpcg-cpp-dev libbenchmark-dev libzstd-dev"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $package"
done
if [ -z "$missing" ]; then
  exit 0
fi
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
