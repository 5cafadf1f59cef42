#!/usr/bin/env bash
# Builds the program of each case and the stand-ins that it starts, into
# build/review. Uses the libraries of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/CMakeCache.txt ] ||
  cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF
cmake --build target -j8 --target flamingoshunt_runtime
mkdir -p build/review
compile() { g++ -std=c++20 -O1 -Wall -Wextra -I. -Ipackages -c "$1" -o "$2"; }
pids=()
for source in review/harness/*.cc review/*/case.cc; do
  object=build/review/$(echo "${source#review/}" | tr / _).o
  compile "$source" "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ "build/review/${number}_case.cc.o" build/review/harness_*.o \
    target/packages/runtime/libflamingoshunt_runtime.a \
    target/packages/telemetry/libflamingoshunt_telemetry.a \
    target/packages/base/libflamingoshunt_base.a \
    -lboost_fiber -lboost_context -lboost_json -lspdlog -lfmt -lcrypto -lpthread \
    -o "build/review/case_$number"
done
