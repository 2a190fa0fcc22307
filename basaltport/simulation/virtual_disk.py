"""A member's disk on virtual time: bytes are safe only once synced; power loss may tear what was not."""

import random

import result

import basaltport.consensus.log as log
import basaltport.consensus.storage.record_framing as record_framing
import basaltport.consensus.storage.snapshot_store as snapshot_store
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.storage.write_ahead_log as write_ahead_log
import basaltport.identifiers as identifiers

PREFIX_SHARE = 0.5

Queued = tuple[int, bytes, snapshot_store.Encoded | None]


class VirtualDisk:
    """The log's own frames and replay; the switch of snapshots is one step, as a rename is.
    docs/design/storage.md says why a power loss of the real files comes to what `power_loss` does here."""

    def __init__(self, rng: random.Random) -> None:
        """It holds nothing, as a new one."""
        self.rng = rng
        self.snap = snapshot_store.encode(snapshot_store.Snapshot())
        self.safe = b""
        self.queue: list[Queued] = []
        self.syncing = 0
        self.under_way = 0
        self.slow = 1
        self.stalled = False
        self.full = False
        self.broken = False

    def write(self, token: int, records: list[log.DiskRecord], whole: snapshot_store.Snapshot | None) -> None:
        """Takes a write; it is safe only when `done` is called for it."""
        raw = record_framing.encode_batch([record_framing.encode(r) for r in records]) if records else b""
        self.queue.append((token, raw, snapshot_store.encode(whole) if whole is not None else None))

    def sync_ends_at(self, now: int) -> int:
        """When a sync that begins now ends, in ms of the same clock."""
        return now + self.rng.randrange(1, 6) * self.slow

    def begin(self) -> None:
        """One sync covers all that waits now. It is under way until `done`, however long the disk stalls."""
        self.syncing = self.under_way = len(self.queue)

    def done(self) -> list[tuple[int, bool]]:
        """What the sync covered is safe: tokens and whether it went well."""
        batch, self.queue = self.queue[: self.syncing], self.queue[self.syncing :]
        self.syncing = self.under_way = 0
        out = []
        for token, raw, whole in batch:
            if not self.full and whole is not None:
                self.snap, self.safe, self.broken = whole, b"", False
            if self.full and not self.broken:
                self.safe += self._torn(raw)
            self.broken = self.broken or self.full
            if not self.broken:
                self.safe += raw
            out.append((token, not self.broken))
        return out

    def finish_all(self) -> None:
        """The process ends, and what its last sync covers is safe: all that waits, if none was under way."""
        self.syncing = self.syncing or len(self.queue)
        self.done()
        self.queue = []

    def power_loss(self) -> None:
        """Of what was under way: nothing; or a prefix of its snapshots, each whole; or all of them, and of
        the records behind the last one a prefix, the last frame torn anywhere or with its beginning
        missing."""
        batch = self.queue[: max(self.syncing, self.under_way)]
        self.queue = []
        self.syncing = self.under_way = 0
        snapshots = [whole for _, _, whole in batch if whole is not None]
        if not batch or self.full:
            return
        kept = self.rng.randrange(0, len(snapshots) + 1)
        if kept:
            self.snap, self.safe, self.broken = snapshots[kept - 1], b"", False
        if kept == len(snapshots) and not self.broken:
            self._tear(self._records_behind_the_last_snapshot(batch))

    @staticmethod
    def _records_behind_the_last_snapshot(batch: list[Queued]) -> list[bytes]:
        frames: list[bytes] = []
        for _, raw, whole in batch:
            frames = [raw] if whole is not None else [*frames, raw]
        return [raw for raw in frames if raw]

    def _tear(self, frames: list[bytes]) -> None:
        """A prefix of the frames, and some of the bytes of the next."""
        kept = self.rng.randrange(0, len(frames) + 1)
        self.safe += b"".join(frames[:kept])
        if kept < len(frames):
            self.safe += self._torn(frames[kept])

    def _torn(self, raw: bytes) -> bytes:
        """Nothing, a prefix or all of it, or zeros where the beginning should be."""
        cut = self.rng.randrange(0, len(raw) + 1)
        if self.rng.random() < PREFIX_SHARE:
            return raw[:cut]
        return bytes(cut) + raw[cut:]

    def load(self) -> result.Result[tuple[state_machine.ReplicatedState, identifiers.Term], str]:
        """As a start reads it: Ok((held, promised)) or Err. The cut log can be appended to again."""
        got = record_framing.scan(self.safe)
        if isinstance(got, result.Err):
            return got
        scanned = got.ok_value
        self.safe = self.safe[: scanned.length]
        self.broken = False
        snapshot = write_ahead_log.replay(snapshot_store.decode(self.snap), scanned.records)
        return result.Ok((snapshot.replicated_state, snapshot.current_term))
