#!/usr/bin/env bash
# Tests a seed controller without a data folder: the cluster is bootstrapped through it, and after all processes were killed
# at once, a gateway that knows only the address of the seed finds the controllers through it again. docs/design.md 3.7, 9.7.
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
until_serves "no cluster was bootstrapped through a seed without a data folder"
kill -9 "${running[@]}"
wait "${running[@]}" 2>/dev/null || true
running=()
all
until_serves "after the restart of all processes the controller was not found through a seed without a data folder"
echo "1 passed, 0 failed"
