#!/usr/bin/env bash
# Runs every test program and ends with 'N passed, N failed', counting CppUTest cases.
# Cases listed in KNOWN-RED.txt may fail: they are printed, but do not fail the run.
set -uo pipefail
cd "$(dirname "$0")/.."
source meta/lib/known_red.sh
export WAGTAIL_BUILD=${WAGTAIL_BUILD:-build}
meta/build.sh || exit 1
log=$(mktemp)
trap 'rm -f "$log"' EXIT
(cd "$WAGTAIL_BUILD" && ctest -j 4 --output-on-failure --no-tests=error -V) >"$log" 2>&1
ctest_code=$?
# The lines after a failure have its message.
grep -E -A 4 'error: Failure in TEST|^[0-9]+: +(expected|but was)' "$log"
# ctest prints the output of a failed program twice, the second time without its number.
total=$(grep -oE '^[0-9]+: .*\(([0-9]+ failures?, )?[0-9]+ tests, [0-9]+ ran' "$log" |
  grep -oE '[0-9]+ ran' | awk '{n+=$1} END{print n+0}')
known=0 unknown=0
while read -r program case; do
  [ -n "$case" ] || continue
  if is_known_red KNOWN-RED.txt "$log" "$program" "$case"; then known=$((known + 1)); echo "known red: $case"
  else unknown=$((unknown + 1)); echo "RED: $case"; fi
done < <(failed_cases "$log")
# A program that crashed or timed out names no failing case; ctest still lists it.
unnamed=$(failed_without_case "$log")
if [ -n "$unnamed" ] || { [ $ctest_code -ne 0 ] && [ $((known + unknown)) -eq 0 ]; }; then
  tail -60 "$log"
  echo "RED: ${unnamed:-ctest}"
  unknown=$((unknown + $(wc -l <<<"${unnamed:-ctest}")))
fi
echo "$((total - known - unknown)) passed, $((known + unknown)) failed"
[ "$unknown" -eq 0 ]
