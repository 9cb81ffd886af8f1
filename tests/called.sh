#!/usr/bin/env bash
# Tests a fleet whose workers are called by their agents: an agent is frozen for longer than a lease while its worker runs
# long tasks, which must end when the lease expires; the leader, an agent and a worker are killed, and one worker leaves.
# history_check must find no violation. No worker is frozen here: a frozen worker can't record that its tasks have paused, so
# history_check would treat long tasks as still running, whether the worker calls its agent or is called.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 240 build/local_cluster --called --folder "$folder/fleet" --port 25000 --config examples/config-cooperative.json --deployment cooperative --seconds 20 --fill 100 \
  freeze:agent2:6 kill:leader kill:agent3 kill:worker_stub5 stop:worker_stub6 ||
  { tail -n 5 "$folder"/fleet/*.log; exit 1; }
