#!/usr/bin/env bash
# Format and lint of the whole tree; docs/style.md. Lint reads a build tree without precompiled headers.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t all < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run -Werror "${all[@]}"
echo "lint: ${#all[@]} files are formatted"
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
mapfile -t linted < <(git ls-files 'source/*.cpp' 'platform/*.cpp' 'programs/*.cpp' 'library/*.cpp')
printf '%s\n' "${linted[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build-lint --quiet 2>/dev/null
echo "lint: ${#linted[@]} files are clean"
