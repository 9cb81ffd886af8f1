#!/usr/bin/env bash
# Runs the unit tests and a short simulation under the address and undefined-behaviour sanitizers, and the tests of the data shared
# between threads under the thread sanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-address -G Ninja -DANISELINE_SANITIZE=address,undefined >/dev/null
cmake --build build-address --target aniseline_tests simulate
UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 bash tests/unit_tests.sh build-address/aniseline_tests "$(nproc)"
UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 build-address/simulate --from 501 --seeds 8
cmake -S . -B build-thread -G Ninja -DANISELINE_SANITIZE=thread >/dev/null
cmake --build build-thread --target aniseline_thread_tests
TSAN_OPTIONS=halt_on_error=1 build-thread/aniseline_thread_tests
