#!/usr/bin/env bash
# Tests the error messages for wrong options, commands and configurations: exit status 2 (usage), 3 (refused) or 5 (no usable answer),
# and no process starts.
set -u
cd "$(dirname "$0")/.." || exit 1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failed=0
passed=0
# refuse STATUS TEXT COMMAND... runs the command, which must exit with this status and print this text.
refuse() {
  local wanted=$1 part=$2
  shift 2
  local said status
  said=$(timeout 10 "$@" 2>&1)
  status=$?
  if [ "$status" = "$wanted" ] && printf '%s' "$said" | grep -qF -- "$part"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "expected status $wanted and '$part' from: $* (got $status: $said)"
  fi
}
printf '{"peer":"127.0.0.1:70000","zone":"a","colour":1}' > "$folder/options.json"
printf '{"queues":{"q":{"retries":-1}},"policies":{"p":{"rank":"wait +"}}}' > "$folder/config.json"
printf '{"queues":' > "$folder/torn.json"
refuse 2 "--peer: is missing" build/controller --zone a --data "$folder/d" --seeds 127.0.0.1:1
refuse 2 "--peer: 'localhost:1'" build/controller --peer localhost:1 --zone a --data "$folder/d" --seeds 127.0.0.1:1
refuse 2 "options.json: peer: '127.0.0.1:70000'" build/controller --options "$folder/options.json" --data "$folder/d" --seeds 127.0.0.1:1
refuse 2 "options.json: colour: is not a known option" build/controller --options "$folder/options.json" --data "$folder/d" --seeds 127.0.0.1:1
refuse 2 "--election-low-ms" build/controller --peer 127.0.0.1:1 --zone a --data "$folder/d" --seeds 127.0.0.1:1 --election-low-ms 150
refuse 2 "nothing.json: can't be read" build/gateway --options "$folder/nothing.json" --http 127.0.0.1:1 --zone a --seeds 127.0.0.1:1
refuse 2 "--threads: must be a whole number from 1 to 64" build/gateway --threads 0 --http 127.0.0.1:1 --zone a --seeds 127.0.0.1:1
refuse 2 "--without: there is no policy paint" build/controller --peer 127.0.0.1:1 --zone a --data "$folder/d" --seeds 127.0.0.1:1 --without paint
refuse 2 "--voters: must be odd" build/controller --peer 127.0.0.1:1 --zone a --data "$folder/d" --seeds 127.0.0.1:1 --voters 4
refuse 2 "--fail: must be a number" build/worker_stub --id m --zone a --gateways 127.0.0.1:1 --fail much
refuse 2 "--gateways: is missing" build/worker_stub --id m --zone a
refuse 2 "--agent: is missing" build/worker_stub --id m --zone a --called --listen 127.0.0.1:1
refuse 2 "--leaseless: is no option of a worker that is called" build/worker_stub --id m --zone a --called --listen 127.0.0.1:1 --agent 127.0.0.1:2 --leaseless
refuse 2 "--worker: is missing" build/agent --listen 127.0.0.1:1 --zone a --seeds 127.0.0.1:2
refuse 2 "the words make no command" build/aniselinectl paint
refuse 3 "/queues/q/retries" build/aniselinectl config check "$folder/config.json"
refuse 3 "/policies/p/rank" build/aniselinectl config check "$folder/config.json"
refuse 3 "is not JSON" build/aniselinectl config check "$folder/torn.json"
refuse 5 "127.0.0.1:1: Connection refused" build/aniselinectl --gateways 127.0.0.1:1 --within-ms 300 counters
refuse 2 "--gateways: is missing, and ANISELINECTL_GATEWAYS is not set" env -u ANISELINECTL_GATEWAYS build/aniselinectl cluster
refuse 2 "ANISELINECTL_GATEWAYS: 'localhost:1'" env ANISELINECTL_GATEWAYS=127.0.0.1:1,localhost:1 build/aniselinectl cluster
refuse 5 "127.0.0.1:1: Connection refused" env ANISELINECTL_GATEWAYS=127.0.0.1:1 build/aniselinectl --within-ms 300 cluster
refuse 5 '"error":"unknown"' build/aniselinectl --gateways 127.0.0.1:1 --within-ms 300 --json plan
refuse 2 "show: it is: aniselinectl show JOB" build/aniselinectl --gateways 127.0.0.1:1 show
refuse 2 "--state: is no option of this command" build/aniselinectl --gateways 127.0.0.1:1 workers --state open
refuse 2 "--times: must be a whole number from 1 to" build/aniselinectl --gateways 127.0.0.1:1 watch plan --times 0
refuse 2 "must only look" build/aniselinectl --gateways 127.0.0.1:1 watch cancel a
refuse 5 "2 of 2" build/aniselinectl --gateways 127.0.0.1:1 --within-ms 100 watch plan --times 2 --every-ms 100
refuse 2 "nothing.json: can't be read" build/aniselinectl --gateways 127.0.0.1:1 submit "$folder/nothing.json"
refuse 0 "--drain-within-ms VALUE" build/aniselinectl drain --help
refuse 0 "who waits and why" build/aniselinectl help
refuse 2 "holds no history" build/history_check --folder "$folder"
printf '{"at":1,"kind":"sung"}\n' > "$folder/torn.witness"
refuse 2 "torn.witness:1: is no witness' line" build/history_check --folder "$folder"
refuse 2 "--by: must be" build/zone_drill --control 127.0.0.1:1 --zone a --by paint
refuse 3 "can't be asked" build/zone_drill --control 127.0.0.1:1 --zone a
[ ! -e "$folder/d" ] || { echo "a refused start created a data folder"; failed=$((failed + 1)); }
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
