#!/bin/sh
# Builds the stand-ins and drivers of the cases, from this repository's sources and the Go standard library only.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/cmd/...
