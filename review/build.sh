#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are plain Python, so this only
# checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
