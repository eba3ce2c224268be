#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/7 start besides the deploy file's program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -tags review -o target/review2/loadreport ./review/4
go build -tags review -o target/review2/keys ./review/5
go build -tags review -o target/review2/switching ./review/6
go build -tags review -o target/review2/silence ./review/7
