#!/usr/bin/env bash
# Checks the stand-ins and scripts of the second review. They are Python with the standard library only, so that nothing
# is compiled or installed; the project's own programs come from the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - *_2.py [4-6]/*.py <<'PY'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), name)
print(f"{len(sys.argv) - 1} files read")
PY
