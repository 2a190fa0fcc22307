"""A disk on virtual time: bytes are safe only once synced; power loss may tear what was not."""

import json

import basaltport.kinds as kinds
import basaltport.consensus.journal as journal


class SimDisk:
    """The journal's own record form and replay; the switch of snapshots is one step, as a rename is."""

    def __init__(self, rng):
        self.rng = rng
        self.snap = json.dumps(journal.empty())
        self.safe = b""
        self.queue = []
        self.syncing = 0
        self.slow = 1
        self.stalled = False
        self.full = False
        self.broken = False

    def write(self, token, records, whole):
        """Takes a write; it is safe only when `done` is called for it."""
        raw = b"".join(journal.encode(r) for r in records)
        self.queue.append((token, raw, json.dumps(whole) if whole is not None else None))

    def lapse(self, now):
        return now + self.rng.randrange(1, 6) * self.slow

    def begin(self):
        """One sync covers all that waits now."""
        self.syncing = len(self.queue)

    def done(self):
        """What the sync covered is safe: tokens and whether it went well."""
        batch, self.queue = self.queue[: self.syncing], self.queue[self.syncing :]
        self.syncing = 0
        out = []
        for token, raw, whole in batch:
            if not self.full and whole is not None:
                self.snap, self.safe, self.broken = whole, b"", False
            self.broken = self.broken or self.full
            if not self.broken:
                self.safe += raw
            out.append((token, not self.broken))
        return out

    def power_loss(self):
        """A prefix of what was under way may have reached the disk, torn anywhere."""
        for _, raw, whole in self.queue:
            if whole is not None:
                break
            self.safe += raw[: self.rng.randrange(0, len(raw) + 1)]
            break
        self.queue = []
        self.syncing = 0

    def load(self):
        """As a start reads it: Ok((held, promised)) or Err."""
        got = journal.read(self.safe)
        if got.is_err():
            return got
        recs, good = got.ok_value
        self.safe = self.safe[:good]
        st = journal.replay(json.loads(self.snap), recs)
        return got.map(
            lambda _: ({"book": st["book"], "tail": st["tail"]}, kinds.Generation(*st["promised"]))
        )
