#!/usr/bin/env bash
# Balancers whose watch of the store is silent go on with an old version for too long. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
exec target/review2/silence -record review/7/record.txt
