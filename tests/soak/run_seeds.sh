#!/usr/bin/env bash
# Runs each entry of seeds.txt; the first that breaks a promise ends it.
# Usage: run_seeds.sh BUILD_FOLDER
set -euo pipefail
build=$(cd "$1" && pwd)
cd "$(dirname "$0")"
while IFS='|' read -r arguments cause; do
  case "$arguments" in ''|'#'*) continue ;; esac
  echo "soak $arguments"
  # shellcheck disable=SC2086
  timeout 120 "$build/tests/flamingoshunt_soak" --build "$build" $arguments </dev/null
done < seeds.txt
