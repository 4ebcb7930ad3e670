#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/4 to review/8: Python files that need the standard
# library only. They are compiled below target/, so that nothing is written beside them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.py review/[4-8]/*.py; do
    [ -f "$source" ] || continue
    name=$(echo "$source" | tr '/' '-')
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
        "$source" "target/review-2/${name}c"
done
