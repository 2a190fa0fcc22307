#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.path.insert(0, ".."); sys.dont_write_bytecode = True; import rig' || exit 2
exec python3 case.py
