#!/usr/bin/env bash
# Runs every test program and ends with 'N passed, N failed', counting CppUTest cases.
# Cases listed in KNOWN-RED.txt may fail: they are printed, but do not fail the run.
set -uo pipefail
cd "$(dirname "$0")/.."
export WAGTAIL_BUILD=${WAGTAIL_BUILD:-build}
meta/build.sh || exit 1
log=$(mktemp)
trap 'rm -f "$log"' EXIT
(cd "$WAGTAIL_BUILD" && ctest -j 4 --output-on-failure --no-tests=error -V) >"$log" 2>&1
ctest_code=$?
grep -E 'error: Failure in TEST|^[0-9]+: +(expected|but was)' "$log"
total=$(grep -oE '\(([0-9]+ failures?, )?[0-9]+ tests, [0-9]+ ran' "$log" | grep -oE '[0-9]+ ran' | awk '{n+=$1} END{print n+0}')
red=$(grep -oE 'Failure in TEST\([A-Za-z0-9_]+, [A-Za-z0-9_]+\)' "$log" | sed 's/Failure in //' | sort -u)
known=0 unknown=0
while IFS= read -r name; do
  [ -n "$name" ] || continue
  if grep -qF "$name" KNOWN-RED.txt 2>/dev/null; then known=$((known + 1)); echo "known red: $name"
  else unknown=$((unknown + 1)); echo "RED: $name"; fi
done <<<"$red"
# A program that crashed or timed out prints no failing case; ctest still names it.
crashed=$(grep -cE '\*\*\*(Timeout|Exception|Not Run)' "$log")
if [ "$crashed" -gt 0 ] || { [ $ctest_code -ne 0 ] && [ $((known + unknown)) -eq 0 ]; }; then
  tail -60 "$log"
  unknown=$((unknown + (crashed > 0 ? crashed : 1)))
fi
echo "$((total - known - unknown)) passed, $((known + unknown)) failed"
[ "$unknown" -eq 0 ]
