#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/13 start beside the project's programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-copies ./review/11
