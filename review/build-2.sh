#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 6 7 8 9 10; do
  if [ -f "review/$n/main.go" ]; then
    go build -o "target/review/case-$n" "./review/$n"
  fi
done
