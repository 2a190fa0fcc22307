"""Our own processes on one machine, for many seeds, against stand-in replicas and under random troubles.

`python -m tests.soak --help` tells how to run it; `test_soak.py` is its short form."""
