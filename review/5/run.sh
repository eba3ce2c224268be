#!/usr/bin/env bash
# A version with a long key never comes into force, and the key it takes away goes on working. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
exec target/review2/keys -record review/5/record.txt
