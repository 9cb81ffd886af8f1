#!/usr/bin/env bash
# Tests that external programs can be built from the installed files: builds two examples against them and runs these against a fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
fleet=""
trap '[ -z "$fleet" ] || kill "$fleet" 2>/dev/null || true; rm -rf "$folder"' EXIT
cmake --install build --prefix "$folder/installed" >/dev/null
cmake -S examples/programs -B "$folder/built" -G Ninja -DCMAKE_PREFIX_PATH="$folder/installed" >/dev/null
cmake --build "$folder/built" >/dev/null
"$folder/installed/bin/local_cluster" --folder "$folder/fleet" --port 24000 --gateways 3 --workers 3 --config examples/config-cedarmark.json --seconds 5 --keep 60 > "$folder/fleet.txt" 2>&1 &
fleet=$!
for _ in $(seq 300); do
  [ -s "$folder/fleet/control" ] && break
  kill -0 "$fleet" 2>/dev/null || { cat "$folder/fleet.txt"; exit 1; }
  sleep 0.1
done
# The worker gets the address of a gateway. The client gets an address without a server and that of a controller, and must discover the gateways.
"$folder/built/example_worker" 8 127.2.1.1:24021 > "$folder/worker.txt" &
worker=$!
"$folder/built/example_client" 127.0.0.1:1 127.1.2.1:24012
for _ in $(seq 8); do "$folder/built/example_client" 127.2.2.1:24022 >/dev/null; done
wait "$worker"
cat "$folder/worker.txt"
grep -qv '^0 tasks' "$folder/worker.txt"
# The example worker writes no history, so the history check of the fleet can't be used: SIGTERM stops the whole fleet with status 4.
kill -TERM "$fleet"
status=0
wait "$fleet" || status=$?
[ "$status" = 4 ] || { tail -n 5 "$folder/fleet.txt"; exit 1; }
fleet=""
echo "1 passed, 0 failed"
