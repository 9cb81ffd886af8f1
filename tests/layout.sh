#!/usr/bin/env bash
# docs/platform.md: nothing outside platform/ knows of it, and the core builds from source/ alone, without that folder, the edges
# and the programs. What reads platform/ besides is its own program and its tests.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
fail() { echo "layout: $1"; failed=1; }

# No include and no name of the platform's outside it; tests speak of it in one file, fuzzers in one.
outside=(source programs benchmarks library examples)
if grep -rnE '#\s*include\s*[<"][^>"]*platform/|aniseline::platform' "${outside[@]}"; then fail "platform/ is used outside it"; fi
if grep -rnE 'ANISELINE_BOOT|Minions\.(Heartbeat|Leave)|Config\.(Replace|Read)|Expect-Minion|/api/(run-start|run-stop|hold)' "${outside[@]}"; then fail "the platform's names stand outside platform/"; fi
if grep -rlE '#\s*include\s*[<"][^>"]*platform/' tests | grep -vE '^tests/(platform_tests|fuzz/platform)\.cpp$'; then fail "other tests than platform_tests.cpp and fuzz/platform.cpp use platform/"; fi

# What the compiler itself read for each object of the build.
if [ -f build/build.ninja ]; then
  while IFS= read -r object; do
    case $object in CMakeFiles/aniseline-platform.dir/* | CMakeFiles/aniseline_tests.dir/*) ;; *) fail "$object is built from platform/" ;; esac
  done < <(ninja -C build -t deps | awk -v ours="$PWD/platform/" '/^[^ ].*: #deps/ { object = $1; sub(/:$/, "", object) } $1 ~ /^\.\.\/platform\// || index($1, ours) == 1 { print object }' | sort -u)
fi

# The core's sources compile where there is nothing but the core: CMakeLists.txt, CORE.
core=$(ls source/{state,scheduling,raft,controller,agent,checker}/*.cpp source/gateway/{leader_call,peer_directory}.cpp)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
mkdir "$folder/source"
for subject in base raft state scheduling controller agent gateway checker; do
  mkdir "$folder/source/$subject"
  cp source/"$subject"/*.hpp "$folder/source/$subject/"
done
for name in $core; do
  cp "$name" "$folder/$name"
done
if ! printf '%s\n' $core | xargs -P 3 -I{} "${CXX:-c++}" -std=c++20 -fsyntax-only -I "$folder/source" "$folder/{}"; then fail "the core does not compile alone"; fi
[ "$failed" = 0 ] && echo "layout: platform/ is used by its own program and tests only; the core compiles alone"
exit "$failed"
