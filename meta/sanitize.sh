#!/usr/bin/env bash
# Builds with sanitizers into a separate folder and runs the matching test programs.
# Usage: meta/sanitize.sh address,undefined [REGEX] | meta/sanitize.sh thread [REGEX]
# By default runs the tests of the decision core and of the concurrent request path, without process
# tests.
set -euo pipefail
cd "$(dirname "$0")/.."
kind=$1
regex=${2:-'^(base|ledger|dispatch|soak|placement|admission|freshness|membership|snapshot|entry|rpc|table|settings|security)_test$'}
build=build-${kind%%,*}
launcher=()
command -v ccache >/dev/null && launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
cmake -S . -B "$build" -G Ninja "${launcher[@]}" -DWAGTAIL_SANITIZE="$kind" >/dev/null
programs=$(cd "$build" && ctest -N -R "$regex" | grep -oE '[a-z_]+_test$')
# shellcheck disable=SC2086 # one word per program
cmake --build "$build" -j "${WAGTAIL_JOBS:-$(nproc)}" --target $programs
cd "$build" && ctest -j 4 -R "$regex" --output-on-failure
