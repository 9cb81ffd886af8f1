#!/usr/bin/env bash
# Runs a program of unit tests without those that KNOWN-RED.txt lists, and prints the list. DEVELOPERS.md 3.
# A line of the list: TEST | cause | issue; a unit test is named GROUP.NAME, a script by its path.
set -euo pipefail
cd "$(dirname "$0")/.."
program=$1
max_known_red=3
left_out=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t lines < <(grep -v '^$' KNOWN-RED.txt || true)
  if [ "${#lines[@]}" -gt "$max_known_red" ]; then
    echo "KNOWN-RED.txt has ${#lines[@]} lines, $max_known_red at most are allowed"
    exit 1
  fi
  for line in ${lines[@]+"${lines[@]}"}; do
    echo "known red: $line"
    name=$(cut -d'|' -f1 <<<"$line" | tr -d ' ')
    [[ "$name" == */* ]] && continue
    # CppUTest leaves tests out by their own name alone, so it must be no other group's.
    if [ "$(grep -rhoE "TEST\([A-Za-z]+, *${name##*.}\)" tests --include='*.cpp')" != "TEST(${name%%.*}, ${name##*.})" ]; then
      echo "KNOWN-RED.txt names no unit test, or more than one: $name"
      exit 1
    fi
    left_out+=(-xsn "${name##*.}")
  done
fi
"$program" ${left_out[@]+"${left_out[@]}"}
