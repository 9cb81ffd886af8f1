#!/usr/bin/env bash
# What an operator gets wrong is named, with status 2 (the words) or 3 (refused), and nothing starts.
set -u
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failed=0
passed=0
# refuse STATUS PART COMMAND...
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
    echo "wanted status $wanted and '$part' from: $* (got $status: $said)"
  fi
}
printf '{"peer":"127.0.0.1:70000","area":"a","colour":1}' > "$folder/options.json"
printf '{"queues":{"q":{"retries":-1}},"policies":{"p":{"rank":"wait +"}}}' > "$folder/setup.json"
printf '{"queues":' > "$folder/torn.json"
refuse 2 "--peer: is missing" build/reservoir --area a --data "$folder/d" --seeds 127.0.0.1:1
refuse 2 "--peer: 'localhost:1'" build/reservoir --peer localhost:1 --area a --data "$folder/d" --seeds 127.0.0.1:1
refuse 2 "options.json: peer: '127.0.0.1:70000'" build/reservoir --options "$folder/options.json" --data "$folder/d" --seeds 127.0.0.1:1
refuse 2 "options.json: colour: is not a known option" build/reservoir --options "$folder/options.json" --data "$folder/d" --seeds 127.0.0.1:1
refuse 2 "--election-low-ms" build/reservoir --peer 127.0.0.1:1 --area a --data "$folder/d" --seeds 127.0.0.1:1 --election-low-ms 150
refuse 2 "nothing.json: can't be read" build/sluice --options "$folder/nothing.json" --http 127.0.0.1:1 --area a --seeds 127.0.0.1:1
refuse 2 "--threads: must be a whole number from 1 to 64" build/sluice --threads 0 --http 127.0.0.1:1 --area a --seeds 127.0.0.1:1
refuse 2 "--voters: must be odd" build/reservoir --peer 127.0.0.1:1 --area a --data "$folder/d" --seeds 127.0.0.1:1 --voters 4
refuse 2 "--fail: must be a number" build/waterwheel --id m --area a --sluices 127.0.0.1:1 --fail much
refuse 2 "--sluices: is missing" build/waterwheel --id m --area a
refuse 2 "--penstock: is missing" build/waterwheel --id m --area a --called --listen 127.0.0.1:1
refuse 2 "--termless: is no option of a minion that is called" build/waterwheel --id m --area a --called --listen 127.0.0.1:1 --penstock 127.0.0.1:2 --termless
refuse 2 "--minion: is missing" build/penstock --listen 127.0.0.1:1 --area a --seeds 127.0.0.1:2
refuse 2 "the words make no command" build/headgate paint
refuse 3 "/queues/q/retries" build/headgate setup check "$folder/setup.json"
refuse 3 "/policies/p/rank" build/headgate setup check "$folder/setup.json"
refuse 3 "is not JSON" build/headgate setup check "$folder/torn.json"
refuse 5 "127.0.0.1:1: Connection refused" build/headgate --sluices 127.0.0.1:1 --within-ms 300 counters
refuse 2 "--sluices: is missing, and HEADGATE_SLUICES is not set" env -u HEADGATE_SLUICES build/headgate cluster
refuse 2 "HEADGATE_SLUICES: 'localhost:1'" env HEADGATE_SLUICES=127.0.0.1:1,localhost:1 build/headgate cluster
refuse 5 "127.0.0.1:1: Connection refused" env HEADGATE_SLUICES=127.0.0.1:1 build/headgate --within-ms 300 cluster
refuse 5 '"error":"unknown"' build/headgate --sluices 127.0.0.1:1 --within-ms 300 --json plan
refuse 2 "show: it is: headgate show JOB" build/headgate --sluices 127.0.0.1:1 show
refuse 2 "--state: is no option of this command" build/headgate --sluices 127.0.0.1:1 minions --state open
refuse 2 "--times: must be a whole number from 1 to" build/headgate --sluices 127.0.0.1:1 watch plan --times 0
refuse 2 "must only look" build/headgate --sluices 127.0.0.1:1 watch cancel a
refuse 5 "2 of 2" build/headgate --sluices 127.0.0.1:1 --within-ms 100 watch plan --times 2 --every-ms 100
refuse 2 "nothing.json: can't be read" build/headgate --sluices 127.0.0.1:1 submit "$folder/nothing.json"
refuse 0 "--drain-within-ms VALUE" build/headgate drain --help
refuse 0 "who waits and why" build/headgate help
refuse 2 "holds no history" build/tailrace --folder "$folder"
printf '{"at":1,"kind":"sung"}\n' > "$folder/torn.witness"
refuse 2 "torn.witness:1: is no witness' line" build/tailrace --folder "$folder"
refuse 2 "--by: must be" build/drawdown --control 127.0.0.1:1 --area a --by paint
refuse 3 "can't be asked" build/drawdown --control 127.0.0.1:1 --area a
[ ! -e "$folder/d" ] || { echo "a refused start left a data folder"; failed=$((failed + 1)); }
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
