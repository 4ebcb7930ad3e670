#!/usr/bin/env bash
# The stand-ins are Python scripts that need the standard library of Python 3.11 or later. There is
# nothing to compile; this checks that the interpreter can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]/*.py <<'PYTHON'
import ast
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
