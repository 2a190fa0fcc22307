"""Files in memory that may lose power: every operation is recorded, and of what was not synced each part
may be kept or lost by itself.

A name has the values it took since its folder was last synced; after a loss of power it has any one of
them. A file has its synced contents and the operations since; after a loss of power each of those is there,
missing or torn. What a loss of power left is chosen only once it is looked at, so that a search over all
choices is complete and yet small.
"""

import dataclasses
import errno
import io
import os
import posixpath
import typing

FOLDER_MARK = -1
HEADER_SIZE = 8
NO_INODE = None


class Killed(BaseException):
    """The process ends here."""


@dataclasses.dataclass(frozen=True)
class Change:
    """One un-synced operation on a file: bytes written at an offset, or with `data` None its length set."""

    offset: int
    data: bytes | None

    def onto(self, content: bytes) -> bytes:
        if self.data is None:
            return content[: self.offset].ljust(self.offset, b"\0")
        padded = content.ljust(self.offset, b"\0")
        return padded[: self.offset] + self.data + padded[self.offset + len(self.data) :]

    def outcomes(self) -> list["Change | None"]:
        """Missing, whole, torn: its beginning there at several lengths, or its end without its beginning."""
        if self.data is None:
            return [None, self]
        size = len(self.data)
        cuts = {1, HEADER_SIZE - 1, HEADER_SIZE, HEADER_SIZE + 1, size // 2, size - 1}
        torn = [Change(self.offset, self.data[:cut]) for cut in sorted(cuts) if 0 < cut < size]
        ends = [Change(self.offset + size // 2, self.data[size // 2 :])] if size > 1 else []
        return [None, self, *torn, *ends]


@dataclasses.dataclass(frozen=True)
class Inode:
    """Synced contents; changes of which an earlier loss of power kept some; changes of this life. A file
    that was never synced itself may be lost though its folder was."""

    synced: bytes = b""
    safe: bool = False
    uncertain: tuple[Change, ...] = ()
    changes: tuple[Change, ...] = ()

    def after_power_loss(self) -> "Inode":
        return Inode(self.synced, self.safe, self.uncertain + self.changes)


@dataclasses.dataclass(frozen=True)
class State:
    """All that a loss of power at one moment may leave."""

    uncertain: dict[str, tuple[int | None, ...]]
    names: dict[str, tuple[int | None, ...]]
    inodes: dict[int, Inode]

    def key(self) -> typing.Hashable:
        """Equal for states in which a loss of power has the same outcomes."""
        order: dict[int, int] = {}
        names = []
        for path, values in sorted({**self.uncertain, **self.names}.items()):
            seen = tuple(dict.fromkeys(values))
            names.append((path, tuple(v if v is None else order.setdefault(v, len(order)) for v in seen)))
        return tuple(names), tuple(self.inodes.get(number) for number in order)


Choose = typing.Callable[[int], int]


def whole(count: int) -> int:
    raise AssertionError("nothing is uncertain before a loss of power")


class Files:
    """The folder tree and the calls on it that the modules under test use."""

    def __init__(self, choose: Choose = whole, capacity: int = 10**9, short_writes: bool = False) -> None:
        self.choose = choose
        self.capacity = capacity
        self.short_writes = short_writes
        self.uncertain: dict[str, tuple[int | None, ...]] = {}
        self.names: dict[str, tuple[int | None, ...]] = {"/": (FOLDER_MARK,)}
        self.inodes: dict[int, Inode] = {}
        self.fates: dict[str, int | None] = {}
        self.incarnation = 0
        self.dead = False
        self.operations = 0
        self.kill_at: int | None = None
        self.kill_before: list[str] = []
        self.refused: range = range(0)
        self.after: typing.Callable[[str], None] = lambda label: None
        self.descriptors: dict[int, str | int] = {}

    # losses

    def state(self) -> State:
        return State(dict(self.uncertain), dict(self.names), dict(self.inodes))

    @staticmethod
    def after_power_loss(state: State, choose: Choose) -> "Files":
        files = Files(choose)
        files.names = {"/": (FOLDER_MARK,)}
        files.uncertain = {**state.uncertain, **state.names}
        del files.uncertain["/"]
        files.inodes = {number: inode.after_power_loss() for number, inode in state.inodes.items()}
        return files

    def restart(self) -> None:
        """A new process on what the ended one left, synced or not."""
        self.dead, self.kill_at, self.kill_before = False, None, []
        self.incarnation += 1

    def operate(self, label: str) -> None:
        """Called before each operation that changes something."""
        if self.kill_before and label.startswith(self.kill_before[0]):
            self.kill_before.pop(0)
            self.dead = not self.kill_before
        if self.dead or self.operations == self.kill_at:
            self.dead = True
            raise Killed
        self.operations += 1
        if self.operations - 1 in self.refused:
            raise OSError(errno.EIO, f"refused: {label}")

    # names

    def value(self, path: str) -> int | None:
        path = posixpath.normpath(os.fsdecode(path))
        if path in self.uncertain:
            options = list(dict.fromkeys(self.uncertain.pop(path)))
            if None not in options and any(self.may_be_lost(number) for number in options):
                options.append(None)
            kept = options[self.choose(len(options))] if len(options) > 1 else options[0]
            lost = path != "/" and self.was_lost(posixpath.dirname(path))
            self.fates[path] = None if lost else kept
            self.names[path] = (None if lost else kept,)
            if self.names[path][0] not in (None, FOLDER_MARK):
                self.inodes[kept] = dataclasses.replace(self.inodes[kept], safe=True)
        return self.names.get(path, (None,))[-1]

    def was_lost(self, folder: str) -> bool:
        """Whether the last loss of power took a folder, though it may have been made again since."""
        self.value(folder)
        return self.fates.get(folder, FOLDER_MARK) is None

    def may_be_lost(self, number: int) -> bool:
        return number != FOLDER_MARK and not self.inodes[number].safe

    def set_name(self, path: str, value: int | None) -> None:
        path = posixpath.normpath(os.fsdecode(path))
        self.value(path)
        self.names[path] = (*self.names.get(path, (None,)), value)

    def inode_at(self, path: str) -> int:
        value = self.value(path)
        if value is None:
            raise FileNotFoundError(errno.ENOENT, "no such file", path)
        return value

    def listdir(self, folder: str) -> list[str]:
        paths = sorted({*self.uncertain, *self.names})
        return [
            posixpath.basename(path)
            for path in paths
            if path != "/" and posixpath.dirname(path) == folder and self.value(path) is not None
        ]

    def makedirs(self, path: str, exist_ok: bool = False) -> None:
        if self.value(path) is not None:
            return
        self.inode_at(posixpath.dirname(path))
        self.operate(f"make {path}")
        self.set_name(path, FOLDER_MARK)
        self.after(f"make {path}")

    def rename(self, old: str, new: str) -> None:
        number = self.inode_at(old)
        label = f"rename {os.fsdecode(old)}"
        self.operate(label)
        self.set_name(new, number)
        self.set_name(old, NO_INODE)
        self.after(label)

    def remove(self, path: str) -> None:
        self.inode_at(path)
        label = f"remove {os.fsdecode(path)}"
        self.operate(label)
        self.set_name(path, NO_INODE)
        self.after(label)

    # contents

    def resolve(self, number: int) -> Inode:
        """The file as this life sees it; what an earlier loss of power left of it is settled now."""
        inode = self.inodes[number]
        if inode.uncertain:
            content = inode.synced
            if not (inode.changes and inode.changes[0] == Change(0, None)):
                for change in inode.uncertain:
                    outcomes = change.outcomes()
                    kept = outcomes[self.choose(len(outcomes))]
                    content = kept.onto(content) if kept else content
            inode = self.inodes[number] = Inode(content, inode.safe, (), inode.changes)
        return inode

    def content(self, number: int) -> bytes:
        inode = self.resolve(number)
        content = inode.synced
        for change in inode.changes:
            content = change.onto(content)
        return content

    def change(self, number: int, change: Change, label: str) -> None:
        inode = self.inodes[number]
        self.inodes[number] = dataclasses.replace(inode, changes=(*inode.changes, change))
        self.after(label)

    def used(self) -> int:
        numbers = {self.value(path) for path in {*self.names, *self.uncertain}} - {None, FOLDER_MARK}
        return sum(len(self.content(number)) for number in numbers)

    def fsync(self, descriptor: int) -> None:
        target = self.descriptors[descriptor]
        label = f"sync {target}"
        self.operate(label)
        if isinstance(target, str):
            for path, values in self.names.items():
                if posixpath.dirname(path) == target:
                    self.names[path] = values[-1:]
        else:
            self.inodes[target] = Inode(self.content(target), safe=True)
        self.after(label)

    # handles

    def descriptor_of(self, target: str | int) -> int:
        number = len(self.descriptors)
        self.descriptors[number] = target
        return number

    def open_descriptor(self, path: str, flags: int) -> int:
        number = self.inode_at(path)
        return self.descriptor_of(posixpath.normpath(path) if number == FOLDER_MARK else number)

    def open(self, path: str, mode: str = "r", buffering: int = -1, encoding: str | None = None) -> typing.IO:
        path = posixpath.normpath(os.fsdecode(path))
        if "r" in mode:
            self.inode_at(path)
        elif self.value(path) is None:
            self.inode_at(posixpath.dirname(path))
            self.operate(f"create {path}")
            number = len(self.inodes)
            self.inodes[number] = Inode()
            self.set_name(path, number)
            self.after(f"create {path}")
        elif "w" in mode:
            self.operate(f"empty {path}")
            self.change(self.inode_at(path), Change(0, None), f"empty {path}")
        raw = Handle(self, self.inode_at(path), path, "a" in mode)
        if buffering == 0:
            return raw
        writes = any(letter in mode for letter in "wa+")
        buffered = io.BufferedRandom(raw) if writes else io.BufferedReader(raw)
        return buffered if "b" in mode else io.TextIOWrapper(buffered, encoding=encoding)


class Handle(io.RawIOBase):
    """An open file. One of a process that ended does nothing any more."""

    def __init__(self, files: Files, number: int, path: str, append: bool) -> None:
        self.files, self.number, self.path, self.append = files, number, path, append
        self.incarnation = files.incarnation
        self.at = 0
        self.was_short = False

    def readable(self) -> bool:
        return True

    def writable(self) -> bool:
        return True

    def seekable(self) -> bool:
        return True

    def fileno(self) -> int:
        return self.files.descriptor_of(self.number)

    def seek(self, offset: int, whence: int = 0) -> int:
        self.at = offset + (0, self.at, len(self.files.content(self.number)) if whence == 2 else 0)[whence]
        return self.at

    def tell(self) -> int:
        return self.at

    def readinto(self, buffer: typing.Any) -> int:
        data = self.files.content(self.number)[self.at : self.at + len(buffer)]
        buffer[: len(data)] = data
        self.at += len(data)
        return len(data)

    def truncate(self, size: int | None = None) -> int:
        label = f"cut {self.path}"
        self.files.operate(label)
        self.files.change(self.number, Change(size, None), label)
        return size

    def write(self, buffer: typing.Any) -> int:
        data = bytes(buffer)
        if self.files.dead or self.incarnation != self.files.incarnation:
            return len(data)
        label = f"write {self.path}"
        try:
            self.files.operate(label)
        except OSError:
            self.put(data[: len(data) // 2], label)
            raise
        room = self.files.capacity - self.files.used() if self.files.capacity < 10**9 else len(data)
        if room < len(data):
            self.put(data[: max(0, room)], label)
            raise OSError(errno.ENOSPC, "no space")
        if self.files.short_writes and len(data) > 1 and not self.was_short:
            data = data[: len(data) // 2 + 1]
            self.was_short = True
        else:
            self.was_short = False
        self.put(data, label)
        return len(data)

    def put(self, data: bytes, label: str) -> None:
        if self.append:
            self.at = len(self.files.content(self.number))
        if data:
            self.files.change(self.number, Change(self.at, data), label)
        self.at += len(data)
