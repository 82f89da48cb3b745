#!/bin/sh
# Runs the case and writes record.txt beside this file; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
RECORD="$(pwd)/review/1/record.txt"
export RECORD
exec target/review/case-1
