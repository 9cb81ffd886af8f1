#!/usr/bin/env bash
# A fleet whose minions are called by penstocks, bounded, waiting on conditions: the leader and a penstock are killed, a
# penstock and a minion are frozen for longer than a lease, a minion is killed and one leaves. tailrace must find nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 240 build/millrace --called --folder "$folder/fleet" --port 25000 --setup examples/setup-cooperative.json --deployment cooperative --seconds 30 \
  kill:leader kill:penstock3 freeze:penstock2:6 freeze:waterwheel4:6 kill:waterwheel5 stop:waterwheel6 ||
  { tail -n 5 "$folder"/fleet/*.log; exit 1; }
