#!/usr/bin/env bash
# Formats the tree, or with --check only reports differences.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=-i
[ "${1:-}" = --check ] && mode="--dry-run --Werror"
git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '\.capnp\.' |
  xargs -r clang-format-14 --style=file $mode
