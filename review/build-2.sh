#!/usr/bin/env bash
# Builds what the scripts of review/6, review/7 and review/9 start besides the programs of the deploy file: one command with all
# stand-ins. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/rig-2
