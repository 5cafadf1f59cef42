#!/usr/bin/env bash
# Builds the program of each case of the second review, with the stand-ins that
# it starts, into build/review-2. Needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
compile() { g++ -std=c++20 -O1 -Wall -Wextra -I. -c "$1" -o "$2"; }
compile review/parts-2/kit.cc "$out/kit.o" &
pids=($!)
cases=()
for number in 6 7 8 9 10; do
  [ -f "review/$number/program.cc" ] || continue
  cases+=("$number")
  compile "review/$number/program.cc" "$out/case_$number.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for number in "${cases[@]}"; do
  g++ "$out/case_$number.o" "$out/kit.o" -lboost_json -lpthread -o "$out/case_$number"
done
