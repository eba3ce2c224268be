#!/bin/sh
# Builds the stand-ins of the scripts, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
go build -tags review -o target/review-lab ./review/lab && go build -tags review -o target/review-trials ./review/trials
