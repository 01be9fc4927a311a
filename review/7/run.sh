#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption that claim.txt names.
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
[ -x target/bin/persimmontallyd ] && [ -x target/review-2/Garbage ] || exit 2
target/review-2/Garbage "$case"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
