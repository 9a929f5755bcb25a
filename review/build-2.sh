#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripted cases of the second review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-play2 ./review/play2
