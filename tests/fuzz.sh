#!/usr/bin/env bash
# Fuzzes every parser of untrusted input under the address and undefined-behaviour sanitizers. The number of runs and
# the seed are fixed, so that the result is the same every time. Usage: fuzz.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DANISELINE_FUZZ=ON >/dev/null
cmake --build build-fuzz --target fuzzers
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cp -r tests/fuzz/corpus/. "$folder"
build-fuzz/fuzz_seeds "$folder"
for subject in wire disk api config worker platform; do
  if ! UBSAN_OPTIONS=print_stacktrace=1 build-fuzz/fuzz_"$subject" -runs="$runs" -seed=1 -max_len=2048 -timeout=10 -rss_limit_mb=1024 -artifact_prefix="$folder/found-$subject-" "$folder/$subject" > "$folder/said" 2>&1; then
    tail -n 40 "$folder/said"
    for found in "$folder/found-$subject-"*; do echo "fuzz: $subject, input in base64: $(base64 -w0 "$found")"; done
    exit 1
  fi
  echo "fuzz: $subject: $(grep -c . <(ls "$folder/$subject")) inputs kept, $(grep -o 'Done [0-9]* runs' "$folder/said")"
done
