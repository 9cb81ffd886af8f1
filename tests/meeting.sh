#!/usr/bin/env bash
# A seed without a disk: it names who founds the cluster, and after everything was killed at once gateways that know no other
# address find the controllers by it again. Bounded, waiting on conditions. docs/design.md 3.7, 9.7.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
running=()
trap '[ ${#running[@]} = 0 ] || kill -9 "${running[@]}" 2>/dev/null || true; rm -rf "$folder"' EXIT
begin() { "$@" >> "$folder/log" 2>&1 & running+=($!); }
all() {
  begin build/gateway --http 127.3.1.3:26003 --zone a --seeds 127.3.1.1:26001
  begin build/controller --peer 127.3.1.1:26001 --zone a --seeds 127.3.1.1:26001 --voters 1
  begin build/controller --peer 127.3.1.2:26002 --zone a --data "$folder/data" --seeds 127.3.1.1:26001 --voters 1 "$@"
}
serves() {
  exec 5<>/dev/tcp/127.3.1.3/26003 || return 1
  printf 'GET /readyz HTTP/1.1\r\nHost: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n' >&5
  head -n 1 <&5 | grep -q " 200 "
}
until_serves() {
  for _ in $(seq 100); do
    serves 2>/dev/null && return
    sleep 0.1
  done
  echo "$1"
  tail -n 20 "$folder/log"
  exit 1
}
all --found
until_serves "no cluster was founded by way of a seed without a disk"
kill -9 "${running[@]}"
wait "${running[@]}" 2>/dev/null || true
running=()
all
until_serves "after all began anew the controller was not found by way of a seed without a disk"
echo "1 passed, 0 failed"
