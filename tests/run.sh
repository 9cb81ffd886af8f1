#!/usr/bin/env bash
# Runs every check of the project, roughly from the cheapest to the most expensive. README: "Testing".
set -euo pipefail
cd "$(dirname "$0")/.."
# Some tests bound the time of real sockets, so half of the processors are left to them.
bash tests/unit_tests.sh build/aniseline_tests "$((($(nproc) + 1) / 2))"
# The build uses no packages besides those that deploy/system.toml lists and their dependencies.
bash tests/packages.sh
# Includes follow the layers, only its own program and tests use platform/, and the core compiles alone.
bash tests/layout.sh
# All files are formatted, and the folders that are free of lint findings stay so. For the whole tree: bash tests/lint.sh.
bash tests/lint.sh source/agent source/base source/checker source/cli source/controller source/daemons source/gateway \
  platform programs library
# The generator of days for the users' bench: the same seed gives the same days, and every kind of trouble is generated.
python3 tests/days/days_test.py
# Model checking of the Raft core: every order of messages, crashes and membership changes, up to a state limit.
# Longer runs: build/model_check --states 5000000, and --walks 100000 --steps 400; tests/model_mutations.sh.
build/model_check --states 40000
# Simulated faults of the whole cluster in virtual time, with a fixed set of seeds, so that the result is the same every time.
build/simulate --from 1 --seeds 96 --every-kind
# The same with workers that are called by their agents.
build/simulate --from 1 --seeds 60 --every-kind --called 8
# Five voters among seven controllers; two voters may be lost at a time.
build/simulate --from 1 --seeds 24 --every-kind --voters 5 --controllers 7
# Two operators change the configuration all the time, while responses to them and leaders are lost.
build/simulate --from 1 --seeds 24 --operators
# A pool that is nearly full: no task waits while there is room for it.
build/simulate --crowded --from 1 --seeds 64
# Tenants whose keys and caps change all the time, with overlapping faults.
build/simulate --tenants --from 1 --seeds 64
# Invalid flags, options and configurations are refused before anything starts, with the file and the field in the message.
bash tests/refusals.sh
# Real processes on this machine: the leader is killed, then the next leader is frozen and resumed.
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
build/local_cluster --folder "$folder/fleet" --config examples/config-cedarmark.json --seconds 12 kill:leader freeze:leader:4 ||
  { tail -n 5 "$folder"/fleet/*.log; exit 1; }
# Real processes with workers that are called by their agents.
bash tests/called.sh
# Bootstrap and discovery through a seed controller without a data folder.
bash tests/meeting.sh
# A controller that was frozen and replaced bootstraps no second cluster when it wakes.
bash tests/one_cluster.sh
# Soak test: real processes and sockets under signals, restarts and configuration changes; checks the outcome of every complete request.
# Two seeds, one of them with kills and a wiped disk at the end; longer series are started by hand: tests/soak/README.md.
for seed in 1 2; do
  [ "$seed" = 1 ] && faults=(--kills no --end none) || faults=(--kills yes --end kill_all_and_wipe_one)
  python3 tests/soak/soak.py --programs build --folder "$folder/soak-$seed" --seed "$seed" --seconds 15 --think-ms 40 "${faults[@]}" ||
    { grep FAILED "$folder/soak-$seed/soak.log"; exit 1; }
done
# A zone of a running fleet is taken out of service and restored; an interrupted drill restores it too.
bash tests/drill.sh kill
# External programs built from the installed files.
bash tests/library.sh
