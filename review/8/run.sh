#!/usr/bin/env bash
# Paths reach servers changed. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
exec target/review2/paths -record review/8/record.txt
