#!/bin/sh
# The stand-ins are plain Python with the standard library only, so there is nothing to compile. This checks that
# they can be read, and that the build command of the deploy file has put the programs' packages in place.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -c "import aiohttp, construct, trafaret"
