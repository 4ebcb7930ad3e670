#!/usr/bin/env bash
# Runs the script of one case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run.
cd "$1" || exit 2
command -v python3 > /dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 run.py
