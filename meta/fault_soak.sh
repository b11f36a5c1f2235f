#!/usr/bin/env bash
# Runs seeds of the fault soak, a few in parallel: meta/fault_soak.sh SEED...
# WAGTAIL_SOAK_SECONDS, _ENTRIES, _AGENTS and _CALLERS change its size; WAGTAIL_SOAK_JOBS sets how
# many run in parallel (3). Prints the result of each and ends with 'N seeds, N broken'.
set -uo pipefail
cd "$(dirname "$0")/.."
export WAGTAIL_BIN=$PWD/${WAGTAIL_BUILD:-build}/bin WAGTAIL_SOURCE=$PWD
program=${WAGTAIL_BUILD:-build}/tests/fault_soak_test
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
printf '%s\n' "$@" | xargs -P "${WAGTAIL_SOAK_JOBS:-3}" -I{} \
  sh -c "WAGTAIL_SOAK_SEED={} $program >$out/{} 2>&1 || touch $out/{}.broken"
broken=$(find "$out" -name '*.broken' | wc -l)
cat "$out"/* | grep -E '^seed|^logs in'
echo "$# seeds, $broken broken"
[ "$broken" -eq 0 ]
