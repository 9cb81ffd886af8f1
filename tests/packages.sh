#!/usr/bin/env bash
# A clean build of what deploy/system.toml names opens files of listed packages only (or of packages that these depend on).
# Reads what the compiler and the linker themselves opened for build/aniseline-platform: ninja's dependency log and ldd's list.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 tests/packages.py build aniseline-platform deploy/system.toml
