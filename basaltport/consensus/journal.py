"""The disk of a ledger: snapshots by dbm.dumb, made whole and switched by rename; a journal between them."""

import dbm.dumb
import json
import os
import re
import zlib

import construct
import result

import basaltport.kinds as kinds
import basaltport.consensus.book as book
import basaltport.text as text

FORMAT = 1
RECORD = construct.Struct("length" / construct.Int32ub, "crc" / construct.Int32ub)
HEAD = RECORD.sizeof()
BEGINS = re.compile(rb'\{"(entry|promise)":')


def encode(rec):
    raw = text.dumps(rec)
    return RECORD.build({"length": len(raw), "crc": zlib.crc32(raw)}) + raw


def _one(raw, at):
    """The record at a place and where the next begins, or None."""
    if at + HEAD > len(raw):
        return None
    h = RECORD.parse(raw[at : at + HEAD])
    end = at + HEAD + h.length
    body = raw[at + HEAD : end]
    if h.length == 0 or len(body) < h.length or zlib.crc32(body) != h.crc:
        return None
    return json.loads(body), end


def read(raw):
    """Ok((records, good length)); Err where a bad record has good ones behind it."""
    recs, at = [], 0
    while at < len(raw):
        got = _one(raw, at)
        if got is None:
            break
        recs.append(got[0])
        at = got[1]
    bad = at
    for m in BEGINS.finditer(raw, bad + HEAD + 1):
        probe = m.start() - HEAD
        if _one(raw, probe) is not None:
            return result.Err(f"bad record at byte {bad}, good ones behind it at byte {probe}")
    return result.Ok((recs, bad))


def replay(state, recs):
    """Journal records over a snapshot's state: {'book', 'tail', 'promised'}."""
    tail = list(state["tail"])
    promised = state["promised"]
    for r in recs:
        if "promise" in r:
            promised = max(promised, r["promise"])
            continue
        e = r["entry"]
        tail = [x for x in tail if x["s"] < e["s"]] + [e]
        promised = max(promised, e["g"])
    return {"book": state["book"], "tail": tail, "promised": promised}


def parts(state):
    """A snapshot's records; where the shell made them already, as they are."""
    if "parts" in state:
        return dict(state["parts"])
    raw = {f"book/{k}": text.dumps({k: v})[len(k) + 4 : -1] for k, v in state["book"].items()}
    raw["tail"] = text.dumps(state["tail"])
    raw["promised"] = text.plain(list(state["promised"]))
    return raw


def empty():
    return {"book": book.new(), "tail": [], "promised": [0, ""]}


class Snapshot(dbm.dumb._Database):
    """As `dbm.dumb.open` gives it, but without `chmod`, which not every place offers."""

    def __init__(self, path, flag):
        super().__init__(path, 0o666, flag)

    def _chmod(self, file):
        pass


class Disk:
    """Blocking; one writer thread calls it. `name` guards the folder against another member's start."""

    def __init__(self, folder, name):
        self.folder = folder
        self.name = name
        self.n = 0
        self.file = None
        self.broken = False

    def path(self, *parts):
        return os.path.join(self.folder, *parts)

    def empty(self):
        """Whether nothing was ever kept here; then the folder is made."""
        os.makedirs(self.folder, exist_ok=True)
        return not os.path.exists(self.path("current"))

    def open(self):
        os.makedirs(self.folder, exist_ok=True)
        if not os.path.exists(self.path("current")):
            self.switch(empty())
            return result.Ok((None, kinds.Generation()))
        with open(self.path("current")) as f:
            try:
                c = json.load(f)
                fmt, who, n = c["format"], c["member"], c["n"]
            except (ValueError, KeyError, TypeError):
                return result.Err("the file `current` is garbled")
        if fmt > FORMAT:
            return result.Err(f"format {fmt} is newer than this program's {FORMAT}")
        if who != self.name:
            return result.Err(f"the folder is of member {who!r}, not {self.name!r}")
        self.n = n
        state = self.load_snapshot()
        if state.is_err():
            return state
        with open(self.path(f"journal.{n}"), "rb") as f:
            got = read(f.read())
        if got.is_err():
            return got
        recs, good = got.ok_value
        self.file = open(self.path(f"journal.{n}"), "r+b", buffering=0)
        self.file.truncate(good)
        self.file.seek(good)
        os.fsync(self.file.fileno())
        st = replay(state.ok_value, recs)
        return result.Ok(({"book": st["book"], "tail": st["tail"]}, kinds.Generation(*st["promised"])))

    def seat_of(self, fallback):
        """The seat kept beside the journal: a restart with its memory is the same seat."""
        try:
            with open(self.path("seat")) as f:
                return f.read().strip() or fallback
        except OSError:
            return fallback

    def founders(self):
        """Addresses that may found, kept at the first start of all; None where this was another start."""
        try:
            with open(self.path("founders")) as f:
                return json.load(f)
        except (OSError, ValueError):
            return None

    def keep_seat(self, seat, founders=None):
        if founders is not None:
            with open(self.path("founders"), "w") as f:
                json.dump(list(founders), f)
                f.flush()
                os.fsync(f.fileno())
        with open(self.path("seat.new"), "w") as f:
            f.write(seat)
            f.flush()
            os.fsync(f.fileno())
        os.rename(self.path("seat.new"), self.path("seat"))
        self.sync(self.folder)

    def load_snapshot(self):
        try:
            with Snapshot(self.path(f"snap.{self.n}"), "r") as db:
                want = json.loads(db["sum"])
                raw = {k.decode(): db[k] for k in db.keys() if k != b"sum"}
            if {k: zlib.crc32(v) for k, v in raw.items()} != want:
                return result.Err("a snapshot record's checksum differs")
            b = {**book.new(), **{k[5:]: json.loads(v) for k, v in raw.items() if k.startswith("book/")}}
            return result.Ok(
                {"book": b, "tail": json.loads(raw["tail"]), "promised": json.loads(raw["promised"])}
            )
        except (dbm.dumb.error, OSError, ValueError, KeyError, SyntaxError) as e:
            return result.Err(f"snapshot {self.n} cannot be read: {type(e).__name__}")

    def switch(self, state):
        """A fresh synced generation of files, in force by one rename; the old ones go after."""
        n = self.n + 1
        raw = parts(state)
        raw["sum"] = json.dumps({k: zlib.crc32(v) for k, v in raw.items()}).encode()
        with Snapshot(self.path(f"snap.{n}"), "n") as db:
            for k, v in raw.items():
                db[k] = v
        for ext in ("dat", "dir"):
            self.sync(self.path(f"snap.{n}.{ext}"))
        f = open(self.path(f"journal.{n}"), "w+b", buffering=0)
        os.fsync(f.fileno())
        tmp = self.path("current.new")
        with open(tmp, "w") as c:
            json.dump({"format": FORMAT, "member": self.name, "n": n}, c)
            c.flush()
            os.fsync(c.fileno())
        self.sync(self.folder)
        os.rename(tmp, self.path("current"))
        self.sync(self.folder)
        if self.file:
            self.file.close()
        old, self.n, self.file = self.n, n, f
        for name in (f"snap.{old}.dat", f"snap.{old}.dir", f"snap.{old}.bak", f"journal.{old}"):
            if os.path.exists(self.path(name)):
                os.remove(self.path(name))

    def sync(self, path):
        fd = os.open(path, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def write(self, records, whole):
        """After a failure only a whole snapshot is taken: the journal may end in half a record. A batch is
        one write, so that a power cut tears it at one place and nothing good stands behind."""
        if whole is not None:
            self.switch(whole)
            self.broken = False
        if not records:
            return
        if self.broken:
            raise OSError("the journal broke off; a snapshot is needed")
        self.broken = True
        raw = b"".join(r if type(r) is bytes else encode(r) for r in records)
        while raw:
            raw = raw[self.file.write(raw) :]
        os.fsync(self.file.fileno())
        self.broken = False

    def write_all(self, batch):
        """Writes in their order; records after the last snapshot share one sync."""
        recs = []
        for _, records, whole in batch:
            if whole is not None:
                self.write([], whole)
                recs = []
            recs += records
        self.write(recs, None)

    def close(self):
        if self.file:
            self.file.close()
