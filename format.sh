#!/usr/bin/env bash
# Formats every C++ file in place; with --check only reports what would change.
set -euo pipefail
cd "$(dirname "$0")"
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.cc' '*.h' | xargs -r clang-format-14 "${mode[@]}"
