#!/usr/bin/env bash
# A controller that was frozen and replaced must not bootstrap a second cluster when it wakes, although it was started with --found
# and the seed, which has no disk, was restarted meanwhile and knows no cluster. docs/design.md 3.7, 3.8.
# Usage: one_cluster.sh [FOLDER OF THE PROGRAMS]
set -euo pipefail
cd "$(dirname "$0")/.."
programs=${1:-build}
folder=$(mktemp -d)
running=()
stop_all() {
  [ ${#running[@]} = 0 ] || kill -9 "${running[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap stop_all EXIT
begin() { # begin NAME ARGUMENTS...
  local name=$1
  shift
  "$@" >>"$folder/$name.log" 2>&1 &
  running+=($!)
}
fail() {
  echo "$1"
  tail -n 12 "$folder"/*.log
  exit 1
}
seed=127.3.2.1:26101
start_seed() {
  begin seed "$programs/controller" --peer "$seed" --http 127.3.2.1:26131 --zone a --seeds "$seed" --replace-after-ms 1000
  seed_process=${running[-1]}
}
controller() { # controller NUMBER [MORE]
  local number=$1
  shift
  begin "core$number" "$programs/controller" --peer "127.3.2.1$number:26101" --http "127.3.2.1$number:26131" --zone "zone$number" \
    --data "$folder/data$number" --seeds "$seed" --replace-after-ms 1000 "$@"
  core[number]=${running[-1]}
}
field() { # field NUMBER NAME: a field of the controller's readiness, empty if it does not answer
  { exec 5<>"/dev/tcp/127.3.2.1$1/26131"; } 2>/dev/null || return 0
  printf 'GET /readyz HTTP/1.1\r\nHost: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n' >&5
  timeout 1 cat <&5 | grep -o "\"$2\":\"\\?[^,\"}]*" | head -n 1 | sed 's/.*://; s/"//' || true
}
wait_for() { # wait_for SECONDS TEXT COMMAND...
  local seconds=$1 text=$2
  shift 2
  for _ in $(seq $((seconds * 10))); do
    "$@" && return
    sleep 0.1
  done
  fail "$text"
}
is_ready() { [ "$(field "$1" ready)" = true ]; }
all_ready() { is_ready 1 && is_ready 2 && is_ready 3; }
has_role() { [ "$(field "$1" role)" = "$2" ]; }
was_left_out() { grep -q '"change":"removed".*"zone":"zone'"$1"'"' "$folder"/core*.log; }
was_removed() { grep -q identity_removed_from_cluster "$folder/core$1.log"; }

declare -a core
start_seed
for number in 1 2 3; do
  controller "$number" --found
done
wait_for 20 "no cluster was bootstrapped" all_ready
frozen=3
wait_for 10 "no leader" eval 'has_role 1 leader || has_role 2 leader || has_role 3 leader'
has_role 3 leader && frozen=2
controller 4
wait_for 20 "the spare controller did not join" is_ready 4
cluster=$(field 4 cluster)
kill -STOP "${core[$frozen]}"
wait_for 20 "the frozen controller was not replaced" was_left_out "$frozen"
kill -9 "$seed_process"
kill -CONT "${core[$frozen]}"
wait_for 20 "the frozen controller was not told that it was removed" was_removed "$frozen"
sleep 0.6
start_seed
sleep 5
[ "$(cat "$folder"/*.log | grep -c cluster_bootstrapped)" = 1 ] || fail "a second cluster was bootstrapped"
for number in 1 2 3 4; do
  [ "$(field "$number" cluster)" = "$cluster" ] || fail "controller $number does not belong to the first cluster"
done
wait_for 20 "the removed controller did not find its cluster again" is_ready "$frozen"
echo "1 passed, 0 failed"
