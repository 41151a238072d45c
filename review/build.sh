#!/usr/bin/env bash
# Builds what the scripts of the review start, besides the build of the deploy file: the stand-ins and clients.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-play ./review/play
