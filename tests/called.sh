#!/usr/bin/env bash
# A fleet whose minions are called by penstocks, bounded, waiting on conditions: a penstock is frozen for longer than a lease
# while its minion has long work, which must end with the hold; the leader, a penstock and a minion are killed, and one
# minion leaves. tailrace must find nothing. No minion is frozen here: it can't write down that its work stands still, so
# with long work tailrace takes that for running on, whether the minion calls or is called.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 240 build/millrace --called --folder "$folder/fleet" --port 25000 --setup examples/setup-cooperative.json --deployment cooperative --seconds 20 --fill 100 \
  freeze:penstock2:6 kill:leader kill:penstock3 kill:waterwheel5 stop:waterwheel6 ||
  { tail -n 5 "$folder"/fleet/*.log; exit 1; }
