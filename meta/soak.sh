#!/usr/bin/env bash
# Long random runs of the decision code over virtual time.
# Usage: meta/soak.sh [EVENTS] [SEED]; simulations of 50,000 events each, with consecutive seeds from SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
export WAGTAIL_SOAK_EVENTS=${1:-1000000} WAGTAIL_SOAK_SEED=${2:-1}
cmake --build "${WAGTAIL_BUILD:-build}" --target soak_test >/dev/null
"${WAGTAIL_BUILD:-build}/tests/soak_test" -v -n NoTaskStartsTwiceAndEveryAnswerIsTrue
