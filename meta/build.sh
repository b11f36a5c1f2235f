#!/usr/bin/env bash
# Configures and builds everything into build/ (or WAGTAIL_BUILD).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${WAGTAIL_BUILD:-build}
launcher=()
command -v ccache >/dev/null && launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
cmake -S . -B "$build" -G Ninja "${launcher[@]}" "$@" >/dev/null
cmake --build "$build" -j "${WAGTAIL_JOBS:-$(nproc)}"
