#!/usr/bin/env bash
# Plays the case once. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/bin/persimmontallyd target/review-3/Reclaimed; do
  [ -x "$program" ] || { echo "$program is missing: build first"; exit 2; }
done
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TMPDIR=$folder timeout --kill-after=2 115 target/review-3/Reclaimed review/13/record.txt
code=$?
tail -n 1 review/13/record.txt
[ "$code" -le 2 ] || code=2
exit "$code"
