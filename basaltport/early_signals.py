"""What signals do while a process starts: its role sets its own handlers once it runs, after slow imports.

Without these, SIGHUP would end a process that starts, and one that is asked to stop would look as if it had
been killed. The settings are read later than this, so that there is nothing to read anew yet; and nothing was
taken that would have to be finished.
"""

import signal
import sys
import types

import basaltport.started  # noqa: F401  # notes when the process began


def stop(number: int, frame: types.FrameType | None) -> None:
    """End in good order."""
    sys.exit(0)


def install_for(module: str) -> None:
    """Ignore SIGHUP, and end on SIGTERM with exit code 0, if `module` is the program that runs; one that is
    imported by another program changes nothing there."""
    if module != "__main__":
        return
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, stop)
