#!/usr/bin/env bash
# Checks the format of the whole tree and runs the linters; DEVELOPERS.md 2. Prints each finding once, and the counts.
# clang-tidy uses a build tree without precompiled headers. LINT_JOBS sets the number of files linted at the same time.
# Usage: lint.sh, or lint.sh format to skip clang-tidy, or lint.sh FOLDER... to run clang-tidy on these folders only.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t all < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run -Werror "${all[@]}"
echo "lint: ${#all[@]} files are formatted"
mapfile -t scripts < <(git ls-files '*.sh' .ci/run)
shellcheck "${scripts[@]}"
mapfile -t python < <(git ls-files '*.py')
black --quiet --line-length 140 --check "${python[@]}"
echo "lint: ${#scripts[@]} scripts and ${#python[@]} Python files are clean"
[ "${1:-}" != format ] || exit 0

cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT

# Runs clang-tidy on one file. A run that fails without a finding is reported as a finding with the last
# lines of its stderr, because a file that could not be analysed is not clean.
lint_one() {
  local name status=0
  name=$results/$(tr / _ <<<"$1")
  clang-tidy -p build-lint --quiet "$1" >"$name.found" 2>"$name.said" || status=$?
  if [ "$status" -ne 0 ] && ! grep -qE ': (warning|error): ' "$name.found"; then
    {
      echo "$1:1:1: error: clang-tidy ended with status $status"
      tail -n 5 "$name.said"
    } >>"$name.found"
  fi
}
export -f lint_one
export results

folders=(source platform programs benchmarks library)
[ $# -eq 0 ] || folders=("$@")
mapfile -t linted < <(git ls-files "${folders[@]/%//*.cpp}")
# shellcheck disable=SC2016  # the inner shell expands its own argument
printf '%s\n' "${linted[@]}" |
  xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one "$1"' lint_one {}

# A finding in a header occurs again with every file that includes it and is printed once. The notes and
# lines of code that follow a finding are printed with it.
cat "$results"/*.found |
  awk '/^[^ ].*: (warning|error): / { shown = !seen[$0]++ } shown' >"$results/all"
cat "$results/all"
findings=$(grep -cE '^[^ ].*: (warning|error): ' "$results/all" || true)
if [ "$findings" -ne 0 ]; then
  echo "lint: $findings findings in ${#linted[@]} files"
  exit 1
fi
echo "lint: ${#linted[@]} files are clean"
