#!/usr/bin/env bash
# Runs soak.py with the seeds FROM to TO, AT_ONCE of them concurrently, each in its own folder and network. For long runs started by hand.
# Prints one line per seed and keeps the folders of failed runs. Usage: series.sh FOLDER FROM TO AT_ONCE [options of soak.py]
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
