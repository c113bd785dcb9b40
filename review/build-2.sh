#!/bin/sh
# Builds the stand-ins of the second review. They need Python's standard
# library only, so this compiles them and runs nothing.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins2
