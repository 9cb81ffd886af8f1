#!/usr/bin/env bash
# A fleet whose workers are called by agents, bounded, waiting on conditions: an agent is frozen for longer than a lease
# while its worker has long work, which must end with the hold; the leader, an agent and a worker are killed, and one
# worker leaves. history_check must find nothing. No worker is frozen here: it can't write down that its work stands still, so
# with long work history_check takes that for running on, whether the worker calls or is called.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 240 build/local_cluster --called --folder "$folder/fleet" --port 25000 --config examples/config-cooperative.json --deployment cooperative --seconds 20 --fill 100 \
  freeze:agent2:6 kill:leader kill:agent3 kill:worker_stub5 stop:worker_stub6 ||
  { tail -n 5 "$folder"/fleet/*.log; exit 1; }
