#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.path.insert(0, ".."); import rig_2, rates_2' || exit 2
exec python3 case.py
