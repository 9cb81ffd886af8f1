#!/usr/bin/env bash
# Checks that the build of aniseline-platform uses only files of the packages that deploy/system.toml lists, or of their dependencies.
# The files are taken from ninja's dependency log, the link command and ldd.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 tests/packages.py build aniseline-platform deploy/system.toml
