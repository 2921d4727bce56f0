#!/usr/bin/env bash
# Generates the protobuf code that is committed. Needs protobuf-compiler; the build does not.
set -eu
cd "$(dirname "$0")/../Source/Core/Protocol"
protoc --cpp_out=. peer.proto
