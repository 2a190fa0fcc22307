"""The few file operations that survive a power loss, each with the syncs that it needs.

A created, renamed or removed name is durable only once its folder is synced, and the contents of a file only
once the file itself is synced.
"""

import os

NEW = ".new"


def sync(path: str) -> None:
    """Sync a file, or the names in a folder."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(path: str) -> None:
    """Create a folder and its parents so that they survive a power loss."""
    path = os.path.abspath(path)
    if os.path.isdir(path):
        return
    parent = os.path.dirname(path)
    make_folder(parent)
    os.makedirs(path, exist_ok=True)
    sync(parent)


def clear(path: str) -> None:
    """Remove a file so that the next one created under this name is a new file: after a power loss a leftover
    name may refer to a file that is in use under another name."""
    if os.path.exists(path):
        os.remove(path)


def prepare(path: str, content: bytes) -> None:
    """Write and sync the file that `commit` will rename to this name."""
    clear(path + NEW)
    with open(path + NEW, "wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())


def commit(path: str) -> None:
    """Rename a prepared file to its name. After an error here either the old or the new file may be in
    use."""
    os.rename(path + NEW, path)
    sync(os.path.dirname(path))


def remove(path: str) -> None:
    """Remove a file that is no longer needed; a failure is ignored, since the file only takes up space."""
    try:
        os.remove(path)
    except OSError:
        pass
