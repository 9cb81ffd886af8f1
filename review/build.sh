#!/usr/bin/env bash
# The stand-ins of the cases are Python and need no build; this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=stand_ins python3 -c 'import platform_stand_in'
