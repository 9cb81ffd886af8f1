#!/usr/bin/env bash
# Checks the dependencies between folders (docs/platform.md): only the platform's own program and tests use platform/, includes follow
# the layers of source/, and the core compiles without platform/, the I/O layers and the programs.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
fail() { echo "layout: $1"; failed=1; }

# No includes and no names of the platform outside platform/, except in its two test files and one fuzzer.
outside=(source programs benchmarks library examples)
if grep -rnE '#\s*include\s*[<"][^>"]*platform/|aniseline::platform' "${outside[@]}"; then fail "platform/ is used outside it"; fi
if grep -rnE 'ANISELINE_BOOT|Minions\.(Heartbeat|Leave)|Config\.(Replace|Read)|Expect-Minion|/api/(run-start|run-stop|hold)' "${outside[@]}"; then fail "the platform's names stand outside platform/"; fi
if grep -rlE '#\s*include\s*[<"][^>"]*platform/' tests | grep -vE '^tests/(platform_tests|platform_tenant_tests|fuzz/platform)\.cpp$'; then fail "other tests than platform_tests.cpp, platform_tenant_tests.cpp and fuzz/platform.cpp use platform/"; fi

# Includes go down the layers only: each folder may include itself and the folders listed here for it.
# base < raft, state < scheduling < controller; state < agent, gateway; checker beside the core; net above these; daemons and cli
# above net; programs, platform and library at the top. The parts of the core that net needs are listed one by one.
declare -A may_include=(
  [base]=""
  [raft]="base"
  [state]="base"
  [scheduling]="base state"
  [controller]="base raft state scheduling"
  [agent]="base state"
  [gateway]="base state"
  [checker]="base raft state"
  [simulator]="base raft state scheduling controller agent gateway checker"
  [net]="base raft state agent gateway checker"
  [daemons]="base raft state controller agent gateway net"
  [cli]="base state gateway net"
)
for folder in source/*/; do
  subject=$(basename "$folder")
  [ -n "${may_include[$subject]+known}" ] || { fail "source/$subject has no place in the layers"; continue; }
  while IFS=: read -r file included; do
    case " ${may_include[$subject]} $subject " in *" $included "*) ;; *) fail "$file includes $included/, which does not stand below source/$subject" ;; esac
  done < <(grep -rHoE '^#include "[a-z_]+/' "source/$subject" | sed -E 's/#include "([a-z_]+)\//\1/')
done
# Nothing in source/ includes the layers above it.
if grep -rnE '#\s*include\s*[<"]([^>"]*/)?(programs|platform|library|aniseline|tests|benchmarks)/' source; then fail "source/ includes what stands above it"; fi
# The library and the platform adapter use the I/O layers, not the decision logic of the core.
if grep -rnE '#include "(scheduling|controller|simulator|raft|checker)/' platform library; then fail "platform/ or library/ includes the core's decisions"; fi

# Every log event of the daemons is documented for operators.
while IFS= read -r event; do
  grep -qF "\`$event\`" docs/operations.md || fail "docs/operations.md does not name the log event $event"
done < <(sed -nE 's/^constexpr const char\* [a-zA-Z]+ = "([a-z_]+)";$/\1/p' source/net/log_events.hpp)
if grep -rnE '\blog\(LogLevel::[a-z]+, "' source platform programs library; then fail "a log event has no name in source/net/log_events.hpp"; fi

# Only the expected objects depend on platform/, by the header dependencies that the compiler recorded.
if [ -f build/build.ninja ]; then
  while IFS= read -r object; do
    case $object in CMakeFiles/aniseline-platform.dir/* | CMakeFiles/aniseline_tests.dir/*) ;; *) fail "$object is built from platform/" ;; esac
  done < <(ninja -C build -t deps | awk -v ours="$PWD/platform/" '/^[^ ].*: #deps/ { object = $1; sub(/:$/, "", object) } $1 ~ /^\.\.\/platform\// || index($1, ours) == 1 { print object }' | sort -u)
fi

# The sources of the core (CORE in CMakeLists.txt) compile in a folder that contains only the headers of the core.
core=(source/{state,scheduling,raft,controller,agent,checker}/*.cpp source/gateway/{leader_call,peer_directory}.cpp)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
mkdir "$folder/source"
for subject in base raft state scheduling controller agent gateway checker; do
  mkdir "$folder/source/$subject"
  cp source/"$subject"/*.hpp "$folder/source/$subject/"
done
for name in "${core[@]}"; do
  cp "$name" "$folder/$name"
done
if ! printf '%s\n' "${core[@]}" | xargs -P 3 -I{} "${CXX:-c++}" -std=c++20 -fsyntax-only -I "$folder/source" "$folder/{}"; then fail "the core does not compile alone"; fi
[ "$failed" = 0 ] && echo "layout: includes point down the layers; log events are documented; platform/ is used by its own program and tests only; the core compiles alone"
exit "$failed"
