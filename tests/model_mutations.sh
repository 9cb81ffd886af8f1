#!/usr/bin/env bash
# Mutation test of the model checker: removes one safety check at a time from a copy of a file of source/raft
# and verifies that the model checker finds the fault. Needs a build of model_check; takes some minutes.
# Usage: model_mutations.sh [NAME]. STATES sets the state limit; with TRACES set it prints the traces.
set -euo pipefail
cd "$(dirname "$0")/.."
states=${STATES:-200000}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
link=$(ninja -C build -t commands model_check | tail -n 1 | sed -n 's/^: && \(.*\) && :$/\1/p')
[ -n "$link" ] || { echo "model_mutations: no link command of model_check"; exit 2; }
failed=0

# mutate NAME FILE SCENARIO SED-EXPRESSION applies the expression to a copy of the file; the checker must find a fault.
mutate() {
  local name=$1 file=$2 scenario=$3 expression=$4
  [ -z "$only" ] || [ "$only" = "$name" ] || return 0
  sed -E "$expression" "source/raft/$file" >"$folder/$file"
  if cmp -s "source/raft/$file" "$folder/$file"; then
    echo "$name: NOT APPLIED, $file has changed"
    failed=1
    return 0
  fi
  "${CXX:-c++}" -std=c++20 -O2 -I source -include source/base/types.hpp -c "$folder/$file" -o "$folder/mutant.o"
  (cd build && eval "${link/ -o model_check/ $folder/mutant.o -o $folder/model_check}")
  local mode found
  for mode in "" --outcomes-only; do
    if "$folder/model_check" --scenario "$scenario" --states "$states" $mode >"$folder/found"; then
      found="NOT FOUND in $(grep -oE '"states":[0-9]+' "$folder/found")"
      [ -n "$mode" ] || failed=1
    else
      found=$(sed -n 's/^BROKEN, in //p' "$folder/found")
    fi
    echo "$name${mode:+ (outcomes only)}, from \"$scenario\": $found"
    if [ -n "${TRACES:-}" ]; then cat "$folder/found"; fi
  done
}

only=${1:-}
mutate vote-told-before-its-sync election.cpp election \
  's/sendAfterSync\(message.from, RequestVoteReply/send(message.from, RequestVoteReply/'
mutate second-vote-in-a-term election.cpp election \
  's/ && \(vote.value.empty\(\) \|\| vote == message.from\)//'
mutate vote-not-on-disk persistence.cpp restarts 's/^  record.vote = vote;//'
mutate term-not-on-disk persistence.cpp restarts 's/^  record.term = currentTerm;//'
mutate leads-without-its-own-vote election.cpp "slow disk" 's/ \|\| !votes.count\(own.id\)//'
mutate own-vote-counted-by-an-earlier-write election.cpp "slow disk" \
  's/^      inFlight->ownVote = false;/      inFlight->ownVote = true;/'
mutate vote-for-a-shorter-log election.cpp behind 's/bool given = newer && /bool given = newer >= 0 \&\& /'
mutate majority-of-one-too-few node.cpp election 's/^         1;/         0;/'
mutate older-term-counted replication.cpp "older term" 's/ && termAt\(agreed\) == currentTerm//'
mutate claim-before-the-sync replication.cpp entry \
  's/replyAppend\(message.from, true, std::min\(index, syncedIndex\)/replyAppend(message.from, true, std::max(index, LogIndex{})/'
mutate leader-counts-itself-before-the-sync replication.cpp entry \
  's/reachedByMajority\(std::min\(syncedIndex, last\(\)\)/reachedByMajority(std::max(syncedIndex, last())/'
mutate claim-beyond-what-is-shown persistence.cpp fork \
  's/replyAppend\(lastAppender, true, std::min\(syncedIndex, shownBy\)/replyAppend(lastAppender, true, std::max(syncedIndex, LogIndex{})/'
mutate shown-by-an-older-leader replication.cpp fork 's/^    shownBy = commit;/    shownBy = last();/'
mutate no-check-of-the-entry-before replication.cpp fork \
  's/^  if \(termAt\(body.previous\) != body.previousTerm\)/  if (body.previousTerm < Term{})/'
mutate other-terms-entry-kept replication.cpp fork \
  's/^      if \(termAt\(index\) == added.term\)/      if (added.term >= Term{})/'
mutate append-of-an-older-term replication.cpp "stale leader" \
  '/AppendEntries& body, MonotonicTime now\) \{/,/^  seeTerm/s/body.term < currentTerm/body.term < Term{}/'
mutate commit-beyond-what-is-shown replication.cpp "fork of two" 's/std::min\(body.commit, index\)/body.commit/'
mutate reply-of-an-older-term replication.cpp "stale reply" 's/!leads\(\) \|\| body.term != currentTerm/!leads()/'
mutate answers-kept-from-an-older-leadership election.cpp "stale reply" 's/^  peers.clear\(\);//'
mutate change-while-one-is-pending membership.cpp promotion 's/!serves\(\) \|\| !membersSettled\(\)/!serves()/'
mutate change-before-an-own-entry membership.cpp "stale leader" 's/!serves\(\) \|\| !membersSettled\(\)/!leads() || !membersSettled()/'
mutate older-snapshot-installed snapshot.cpp "late snapshot" 's/body.snapshot.index > commit/body.snapshot.index > LogIndex{}/'
mutate late-snapshot-drops-the-log snapshot.cpp "late snapshot" 's/termAt\(body.snapshot.index\) == body.snapshot.term/body.snapshot.term < Term{}/'
mutate other-log-claimed-under-a-snapshot snapshot.cpp "forked snapshot" 's/std::min\((syncedIndex|inFlight->covers), shownBy\)/std::max(\1, LogIndex{})/'
mutate removed-by-a-pending-change election.cpp removal 's/!candidate && serves\(\) && membersSettled\(\)/!candidate && leads()/'
exit "$failed"
