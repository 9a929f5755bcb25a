#!/usr/bin/env bash
# Builds the program that plays the cases of this review: their stand-ins of the store (the project's own), of runners and of
# clients, and what starts the daemons. The daemon itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/play
