#!/usr/bin/env bash
# Runs clang-tidy on all source files of the project, or on the given ones. Needs a configured build
# folder.
set -euo pipefail
cd "$(dirname "$0")/.."
files=("$@")
[ $# -gt 0 ] || mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' | grep -v '\.capnp\.')
printf '%s\n' "${files[@]}" | xargs -P "${WAGTAIL_JOBS:-$(nproc)}" -n 1 clang-tidy-14 -p "${WAGTAIL_BUILD:-build}" --quiet 2> >(grep -v 'warnings generated\|warning generated' >&2)
