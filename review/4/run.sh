#!/usr/bin/env bash
# A wrong load report in one answer of one server hangs a balancer. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
exec target/review2/loadreport -record review/4/record.txt
