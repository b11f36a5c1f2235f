#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$folder")
cd "$folder/../.." || exit 2
TMPDIR=$(mktemp -d)
TROUBLE=${TROUBLE:-1}
export TMPDIR TROUBLE
timeout -k 2 110 "review/bin/case-$number" "$folder"
result=$?
rm -rf "$TMPDIR"
[ "$result" -le 2 ] || result=2
exit "$result"
