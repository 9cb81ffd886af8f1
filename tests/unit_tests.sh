#!/usr/bin/env bash
# Runs the unit tests of a program in one or several concurrent processes, each test at least once, except those that KNOWN-RED.txt lists
# as known failures. Prints that list, and for each unit test on it whether it passes now. DEVELOPERS.md 3.
# Format of a line of the list: TEST | what was seen | command and seed | issue; TEST is GROUP.NAME for a unit test and the path for a
# script. A line may name several tests, separated by spaces.
# Usage: unit_tests.sh PROGRAM [PROCESSES]
set -euo pipefail
cd "$(dirname "$0")/.."
program=$1
shards=${2:-1}
known_red_seconds=300 # a listed test that hangs counts as failing

folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
mapfile -t tests < <("$program" -ln | tr ' ' '\n' | grep .)
[ "${#tests[@]}" -gt 0 ] || { echo "$program lists no tests"; exit 1; }

known_red=()
while IFS= read -r line; do
  echo "known red: $line"
  for name in ${line%%|*}; do
    [[ "$name" == */* ]] || known_red+=("$name")
  done
done < <(grep -v '^$' KNOWN-RED.txt 2>/dev/null || true)

# CppUTest selects tests by name alone, so a listed test is left out only if no other test has its name.
for name in ${known_red[@]+"${known_red[@]}"}; do
  [[ " ${tests[*]} " == *" $name "* ]] || { echo "KNOWN-RED.txt names no unit test: $name"; exit 1; }
  [ "$(printf '%s\n' "${tests[@]#*.}" | grep -cx "${name#*.}")" = 1 ] || { echo "$name shares its name with another test; rename it"; exit 1; }
done
mapfile -t chosen < <(printf '%s\n' "${tests[@]}" | grep -vxF "$(printf '%s\n' ${known_red[@]+"${known_red[@]}"} '#')")

[ "$shards" -le "${#chosen[@]}" ] || shards=${#chosen[@]}
declare -A processes=()
for ((shard = 0; shard < shards; ++shard)); do
  filters=()
  for ((index = shard; index < ${#chosen[@]}; index += shards)); do
    filters+=(-sn "${chosen[index]#*.}")
  done
  "$program" ${filters[@]+"${filters[@]}"} >"$folder/$shard.log" 2>&1 &
  processes[$shard]=$!
done
failed=0
for ((shard = 0; shard < shards; ++shard)); do
  wait "${processes[$shard]}" || failed=1
  cat "$folder/$shard.log"
done
echo "unit tests: ${#chosen[@]} of ${#tests[@]} in $shards processes"

for name in ${known_red[@]+"${known_red[@]}"}; do
  if timeout "$known_red_seconds" "$program" -sg "${name%%.*}" -sn "${name#*.}" >"$folder/known-red.log" 2>&1; then
    echo "known red, passes now: $name"
  else
    echo "known red, fails: $name"
  fi
done
exit "$failed"
