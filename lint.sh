#!/usr/bin/env bash
# Runs clang-tidy over every compiled source (or over the files given), in
# parallel, with the compile commands of the release preset. A file is skipped
# when it and every project header it includes are as they were when it last
# passed with the same rules; LINT_CACHE names the folder of those marks.
set -euo pipefail
cd "$(dirname "$0")"
export LINT_CACHE=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/flamingoshunt-lint}
mkdir -p "$LINT_CACHE"
[ -f build/release/compile_commands.json ] || cmake --preset release >/dev/null
files=("$@")
[ ${#files[@]} -eq 0 ] && mapfile -t files < <(git ls-files '*.cc' ':!tests/test_main.cc')

lint_one() {
  local file=$1 headers mark
  headers=$(g++ -std=c++20 -MM -Ipackages -I. -isystem /usr/include/jsoncpp "$file" 2>/dev/null |
    tr -d '\\' | tr ' ' '\n' | grep -E '\.(h|cc)$' | sort -u || true)
  # shellcheck disable=SC2086
  mark=$(cat .clang-tidy $headers "$file" | sha256sum | cut -c1-40)
  [ -n "$headers" ] && [ -e "$LINT_CACHE/$mark" ] && return 0
  if clang-tidy-14 -p build/release --quiet --extra-arg=-Wno-unknown-warning-option \
      "$file" 2> >(grep -v 'warnings\? generated' >&2); then
    touch "$LINT_CACHE/$mark"
  else
    echo "lint failed: $file" >&2
    return 1
  fi
}
export -f lint_one
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
