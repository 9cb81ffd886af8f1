#!/usr/bin/env bash
# Every check of the project, in the order of its cost. README: "Testing".
set -euo pipefail
cd "$(dirname "$0")/.."
bash tests/unit_tests.sh build/aniseline_tests
# A clean build needs the packages that deploy/system.toml lists, and no others.
bash tests/packages.sh
# Nothing outside platform/ knows of it, and the core compiles alone.
bash tests/layout.sh
# Every file is formatted, and the folders that were seen clean stay so. The whole tree: bash tests/lint.sh.
bash tests/lint.sh source/agent source/base source/checker source/cli source/controller source/daemons source/gateway \
  platform programs library
# The days that hunts on the users' bench draw: the same seed gives the same days, every kind of trouble comes.
python3 tests/days/days_test.py
# The consensus core under every order of messages, crashes and changes of members, to a bound. The long
# form: build/model_check --states 5000000, and --walks 100000 --steps 400; tests/model_mutations.sh.
build/model_check --states 40000
# Seeded faults on the whole cluster in virtual time; a fixed set of seeds, so the verdict is the same every time.
build/simulate --from 1 --seeds 96 --every-kind
# The same with workers that are called, each with its agent.
build/simulate --from 1 --seeds 60 --every-kind --called 8
# Five voters of seven controllers, of which two may be lost at a time.
build/simulate --from 1 --seeds 24 --every-kind --voters 5 --controllers 7
# Two operators at work all the time, whose answers and leaders are lost.
build/simulate --from 1 --seeds 24 --operators
# A pool that is nearly full: nothing waits where there is room for it.
build/simulate --crowded --from 1 --seeds 64
# Tenants whose keys and caps change all the time, beside faults that overlap.
build/simulate --tenants --from 1 --seeds 64
# Bad flags, options and configs are refused by file and field, before anything starts.
bash tests/refusals.sh
# Real processes on this machine, bounded, waiting on conditions: the leader is killed, then frozen and woken.
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
build/local_cluster --folder "$folder/fleet" --config examples/config-cedarmark.json --seconds 12 kill:leader freeze:leader:4 ||
  { tail -n 5 "$folder"/fleet/*.log; exit 1; }
# Workers that are called rather than call, with their agents.
bash tests/called.sh
# A seed without a disk leads the way.
bash tests/meeting.sh
# Real processes and sockets under signals, restarts and changes of configuration; every complete request is accounted for.
# Two seeds, one with kills and a lost disk at its end; the long series is started by hand: tests/soak/README.md.
for seed in 1 2; do
  [ "$seed" = 1 ] && faults=(--kills no --end none) || faults=(--kills yes --end kill_all_and_wipe_one)
  python3 tests/soak/soak.py --programs build --folder "$folder/soak-$seed" --seed "$seed" --seconds 15 --think-ms 40 "${faults[@]}" ||
    { grep FAILED "$folder/soak-$seed/soak.log"; exit 1; }
done
# A zone is taken out of a running fleet and given back; an interrupted drill gives it back too.
bash tests/drill.sh kill
# Other people's programs against the installed tree.
bash tests/library.sh
