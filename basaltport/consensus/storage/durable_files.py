"""The few operations on files that survive a loss of power, each with the syncs that make it so.

A name that was created, renamed or removed is safe only once its folder is synced, and the contents of a file
only once the file itself is.
"""

import os

NEW = ".new"


def sync(path: str) -> None:
    """Sync one file, or the names in one folder."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(path: str) -> None:
    """Make a folder, and those above it, so that they are there after a loss of power as well."""
    path = os.path.abspath(path)
    if os.path.isdir(path):
        return
    above = os.path.dirname(path)
    make_folder(above)
    os.makedirs(path, exist_ok=True)
    sync(above)


def clear(path: str) -> None:
    """Make sure that a file which is created next is a new one: after a loss of power a leftover name may
    stand for a file that is in force under another."""
    if os.path.exists(path):
        os.remove(path)


def prepare(path: str, content: bytes) -> None:
    """Write and sync the file that `commit` is to put in force under this name."""
    clear(path + NEW)
    with open(path + NEW, "wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())


def commit(path: str) -> None:
    """Put a prepared file in force. After an error here either file may be the one in force."""
    os.rename(path + NEW, path)
    sync(os.path.dirname(path))


def remove(path: str) -> None:
    """Remove a file that is no longer needed; where that fails it only takes up room."""
    try:
        os.remove(path)
    except OSError:
        pass
