#!/usr/bin/env bash
# Soak runs with seeds FROM to TO, so many at a time, each in a folder and a network of its own; the long run that is started by hand.
# series.sh FOLDER FROM TO AT_ONCE [options of soak.py]. Prints one line a seed and keeps the folders of those that fail.
set -euo pipefail
cd "$(dirname "$0")/../.."
folder=$1 from=$2 to=$3 at_once=$4
shift 4
mkdir -p "$folder"
one_seed() {
  local folder=$1 seed=$2 network=$3 status=0
  shift 3
  python3 tests/soak/soak.py --programs "${SOAK_PROGRAMS:-build}" --folder "$folder/seed-$seed" --seed "$seed" --network "$network" "$@" \
    >"$folder/seed-$seed.out" 2>&1 || status=$?
  cp "$folder/seed-$seed/summary.json" "$folder/summary-$seed.json" 2>/dev/null || true
  if [ "$status" = 0 ]; then
    rm -rf "$folder/seed-$seed"
    echo "seed $seed: passed"
  else
    echo "seed $seed: FAILED with status $status; $(grep -m 3 -h FAILED "$folder/seed-$seed/soak.log" 2>/dev/null | tr '\n' ';')"
  fi
}
export -f one_seed
# shellcheck disable=SC2016
seq "$from" "$to" | xargs -P "$at_once" -I{} bash -c 'one_seed "$0" {} $((100 + {} % 100)) "${@:1}"' "$folder" "$@"
