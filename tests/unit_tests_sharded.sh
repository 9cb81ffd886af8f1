#!/usr/bin/env bash
# Runs the unit tests of a program in several concurrent processes, each test at least once. For builds with a sanitizer, where one
# process takes ten minutes. Prints the output of each process. If KNOWN-RED.txt has entries, it runs tests/unit_tests.sh instead.
# Usage: unit_tests_sharded.sh PROGRAM PROCESSES
set -euo pipefail
cd "$(dirname "$0")/.."
program=$1
shards=$2
[ ! -s KNOWN-RED.txt ] || exec bash tests/unit_tests.sh "$program"

folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
mapfile -t tests < <("$program" -ln | tr ' ' '\n' | grep .)
[ "${#tests[@]}" -gt 0 ] || { echo "$program lists no tests"; exit 1; }
declare -A processes=()
for ((shard = 0; shard < shards; ++shard)); do
  chosen=()
  for ((index = shard; index < ${#tests[@]}; index += shards)); do
    chosen+=(-sn "${tests[index]#*.}")
  done
  "$program" "${chosen[@]}" >"$folder/$shard.log" 2>&1 &
  processes[$shard]=$!
done
failed=0
for ((shard = 0; shard < shards; ++shard)); do
  wait "${processes[$shard]}" || failed=1
  cat "$folder/$shard.log"
done
echo "unit tests: ${#tests[@]} in $shards processes"
exit "$failed"
