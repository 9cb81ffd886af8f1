#!/usr/bin/env bash
# Runs the unit tests of a program except those that KNOWN-RED.txt lists as known failures, and prints that list. DEVELOPERS.md 3.
# Format of a line of the list: TEST | what was seen | command and seed | issue; TEST is GROUP.NAME for a unit test and the path for a
# script.
# Usage: unit_tests.sh PROGRAM
set -euo pipefail
cd "$(dirname "$0")/.."
program=$1
max_known_red=3
red=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t lines < <(grep -v '^$' KNOWN-RED.txt || true)
  if [ "${#lines[@]}" -gt "$max_known_red" ]; then
    echo "KNOWN-RED.txt has ${#lines[@]} lines, $max_known_red at most are allowed"
    exit 1
  fi
  for line in ${lines[@]+"${lines[@]}"}; do
    echo "known red: $line"
    name=$(cut -d'|' -f1 <<<"$line" | tr -d ' ')
    [[ "$name" == */* ]] || red+=("$name")
  done
fi
if [ "${#red[@]}" = 0 ]; then
  exec "$program"
fi

# CppUTest combines filters with "or", so the tests to run are listed: first all groups without a known failure, then the remaining tests
# of each other group.
mapfile -t tests < <("$program" -ln | tr ' ' '\n' | grep .)
others=()
for group in $("$program" -lg); do
  [[ " ${red[*]}" == *" $group."* ]] || others+=(-sg "$group")
done
"$program" "${others[@]}"
for group in $(printf '%s\n' "${red[@]}" | cut -d. -f1 | sort -u); do
  left=()
  for name in "${tests[@]}"; do
    [[ "$name" != "$group."* || " ${red[*]} " == *" $name "* ]] || left+=(-sn "${name#*.}")
  done
  [ "${#left[@]}" = 0 ] || "$program" -sg "$group" "${left[@]}"
done
for name in "${red[@]}"; do
  if [[ " ${tests[*]} " != *" $name "* ]]; then
    echo "KNOWN-RED.txt names no unit test: $name"
    exit 1
  fi
done
