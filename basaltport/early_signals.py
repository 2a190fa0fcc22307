"""Signal handlers for the start of a process, until its role installs its own after slow imports.

Without these, SIGHUP would end a process that is starting, and one that is asked to stop would look as if it
had been killed. SIGHUP can be ignored, as the settings are read later; SIGTERM can end the process at once,
as it has accepted no requests yet.
"""

import signal
import sys
import types

import basaltport.started  # noqa: F401  # records when the process started


def stop(number: int, frame: types.FrameType | None) -> None:
    """Exit with code 0."""
    sys.exit(0)


def install_for(module: str) -> None:
    """Ignore SIGHUP, and exit with code 0 on SIGTERM, if `module` is `__main__`; do nothing in a module that
    another program imports."""
    if module != "__main__":
        return
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, stop)
