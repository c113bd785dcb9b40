#!/bin/sh
# Runs the case; exit status 1: the rule was broken, 0: it held, 2: not run.
cd "$(dirname "$0")" || exit 2
exec timeout 115 python3 case.py
