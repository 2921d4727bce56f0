#!/usr/bin/env bash
# Regenerates the committed protobuf code. Needs protobuf-compiler, which the build itself does not need.
set -eu
cd "$(dirname "$0")/../Source/Core/Protocol"
protoc --cpp_out=. peer.proto
