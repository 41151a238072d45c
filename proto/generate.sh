#!/usr/bin/env bash
# Generates internal/pb from the schema. Needs protoc and protoc-gen-go.
set -euo pipefail
cd "$(dirname "$0")"
out=${1:-../internal/pb}
mkdir -p "$out"
protoc --go_out="$out" --go_opt=paths=source_relative folder.proto settings.proto node.proto peer.proto
