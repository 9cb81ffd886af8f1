#!/usr/bin/env bash
# Every check of the project, in the order of its cost. README: "Testing".
set -euo pipefail
cd "$(dirname "$0")/.."
build/aniseline_tests
