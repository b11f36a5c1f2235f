#!/usr/bin/env bash
# Builds the stand-ins and the cases 6 and up into target/review-2. Needs the packages of the deploy
# file only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DWAGTAIL_TESTS=OFF \
  -DCMAKE_PROJECT_wagtailplank_INCLUDE="$PWD/review/stand_ins_2/cases.cmake" >/dev/null
cmake --build target/review-2 --target review_cases
