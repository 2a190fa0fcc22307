"""What the platform's list and the replicas' reports say, and how far they are believed."""

import typing

import basaltport.identifiers as identifiers
import basaltport.placement.effects as effects
import basaltport.placement.replica_state as replica
import basaltport.placement.state as state

EVERY = 700
LAG = 1500
REPORT_LAG = 600
PATIENCE = 3000
GONE = 3000
ORPHAN = 0.1
KEEP = ("id", "service", "address", "zone", "slots", "state")
ASK_MOST = 1000


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class ReplicaInventoryMixin(Needs):
    """Takes lists and reports, and knows what each replica holds."""

    now: int
    out: state.Effects
    list_out: bool
    list_at: int
    gone: dict[str, int]
    zones: set[str]
    known: bool
    dirty: bool

    def ask_list(self) -> None:
        """Ask for the list if it is time."""
        if self.list_out and self.now - self.list_at > PATIENCE:
            self.list_out = False
        if self.list_out or self.now - self.list_at < self.every:
            return
        self.list_out, self.list_at = True, self.now
        self.out.append(effects.List())

    def listed(self, now: int, rows: list[state.Row]) -> state.Effects:
        """The list was read: its rows."""
        self.now, self.out = now, []
        if not self.on:
            return []
        as_of = (self.list_at if self.list_out else now) - LAG
        self.list_out = False
        seen = {}
        for row in rows:
            if now - self.gone.get(row["id"], -GONE) >= GONE:
                seen[row["id"]] = row
        for p in [p for p in self.reps.values() if p.id not in seen]:
            self.lose(p, False)
        for row in seen.values():
            self.take_row(row, as_of)
        self.gone = {r: t for r, t in self.gone.items() if now - t < GONE}
        self.zones = {p.zone for p in self.reps.values() if self.may_serve(p)}
        self.known = True
        self.dirty = True
        self.ask_reports()
        self.place()
        return self.out

    def list_failed(self, now: int) -> state.Effects:
        """The list could not be read."""
        self.now, self.list_out = now, False
        return []

    def take_row(self, row: state.Row, as_of: int) -> None:
        """Take what a row of the list says, which was true at `as_of`."""
        known = self.reps.get(row["id"])
        p = known or self.meet(row["id"], as_of)
        p.service, p.address, p.zone = row["service"], row["address"], row["zone"]
        p.state, p.leaves = row["state"], row.get("leaves_in_ms")
        p.slots = row.get("slots") or 1
        p.row = row
        p.engine = p.service in self.cat.services
        if p.engine and not p.asked:
            self.take_models(p, row.get("models") or {}, as_of, 1 if known else 0)
        self.show(p)

    def meet(self, rid: identifiers.ReplicaId, as_of: int) -> replica.Replica:
        """A replica that was not known; one that was once is asked what it holds."""
        p = self.reps[rid] = replica.Replica(rid)
        p.synced = as_of >= self.ready_at
        if p.id in self.seen:
            self.doubt(p)
        self.seen.add(p.id)
        p.running_at = self.now
        return p

    def take_models(self, p: replica.Replica, models: state.Models, as_of: int, doubts: int) -> None:
        """Takes what a list or report of `as_of` says of what was not changed since; what is missing goes
        once it was missed more than `doubts` times."""
        busy = {s.model for s in p.steps()}
        for m, adapters in models.items():
            self.keep_disk(p, m)
            if m not in busy and p.touched.get(m, as_of) <= as_of:
                self.take_model(p, m, adapters, as_of)
        was, p.missing = p.missing, {}
        for m, a in self.missed(p, models, as_of, busy):
            n = was.get((m, a), 0) + 1
            if n > doubts:
                self.unhold(p, m, a)
            else:
                p.missing[m, a] = n
        p.touched = {i: t for i, t in p.touched.items() if t > as_of}

    def take_model(self, p: replica.Replica, model: str, adapters: list[str], as_of: int) -> None:
        """A replica holds a model, and those adapters of it that were not changed since."""
        if model not in p.held:
            self.hold(p, model)
        for a in adapters:
            if a not in p.held[model].adapters and p.touched.get(f"{model}/{a}", as_of) <= as_of:
                self.hold(p, model, a)

    def missed(
        self, p: replica.Replica, models: state.Models, as_of: int, busy: set[str]
    ) -> list[tuple[str, str]]:
        """What is held by all that is known here, not changed since `as_of`, and not in `models`."""
        out = []
        for m, h in p.held.items():
            if m in busy or p.touched.get(m, as_of) > as_of:
                continue
            if m not in models:
                out.append((m, ""))
                continue
            for a, t in h.adapters.items():
                if a not in models[m] and p.touched.get(f"{m}/{a}", t) <= as_of:
                    out.append((m, a))
        return out

    def doubt(self, p: replica.Replica) -> None:
        """Nothing is ordered there until a report, younger than the last order, tells what it holds."""
        p.synced, p.asked = False, None
        p.ask_at, p.ask_wait = self.now + REPORT_LAG, replica.ASK_WAIT

    def ask_reports(self) -> None:
        """Ask replicas in doubt for their reports."""
        if self.now < self.ready_at:
            return
        for p in self.reps.values():
            if p.synced or not p.engine:
                continue
            if p.asked is not None and self.now - p.asked > PATIENCE:
                p.asked = None
            if p.asked is None and self.now >= p.ask_at and self.may_order(p.id):
                p.asked = self.now
                self.out.append(effects.Report(p.id, p.address))

    def reported(self, now: int, rid: str, ok: bool, report: state.Row) -> state.Effects:
        """A replica reported, or did not answer."""
        self.now, self.out = now, []
        p = self.reps.get(rid)
        if not self.on or p is None or p.asked is None:
            return []
        asked, p.asked = p.asked, None
        p.ask_at, p.ask_wait = now + p.ask_wait, min(ASK_MOST, p.ask_wait * 2)
        if not ok:
            p.dark += 1
            self.show(p)
            return []
        p.dark = 0
        self.take_models(p, report["models"], asked - REPORT_LAG, 0)
        if not report.get("busy"):
            p.synced = True
            self.dirty = True
        self.show(p)
        self.place()
        return self.out

    def lose(self, p: replica.Replica, moved: bool = True) -> None:
        """A replica that is gone, or whose address is another's."""
        if p.plan:
            self.drop(p)
        for m in p.shown():
            if not self.holders[m] - {p.id} and self.rate(m) > ORPHAN:
                self.orphans[m] = self.now
        for m in list(p.held):
            self.unhold(p, m)
        for m in p.disk:
            self.disks[m].discard(p.id)
        del self.reps[p.id]
        if moved:
            self.gone[p.id] = self.now
        if self.rows.pop(p.id, None) is not None:
            self.changed.add(p.id)
        self.dirty = True

    # what is held

    def hold(self, p: replica.Replica, model: str, adapter: str = "") -> None:
        """A replica holds a model or adapter."""
        h = p.held.get(model)
        if h is None:
            h = p.held[model] = replica.Held(self.now)
            self.keep_disk(p, model)
        if adapter:
            h.adapters[adapter] = self.now
            h.off.discard(adapter)
        self.index(p)

    def keep_disk(self, p: replica.Replica, model: str) -> None:
        """A replica has the weights of a model on its disk."""
        p.disk.add(model)
        self.disks.setdefault(model, set()).add(p.id)

    def unhold(self, p: replica.Replica, model: str, adapter: str = "") -> None:
        """A replica holds a model or adapter no more."""
        h = p.held.get(model)
        if h is None:
            return
        if adapter:
            h.adapters.pop(adapter, None)
            h.off.discard(adapter)
            self.unserve(p, f"{model}/{adapter}")
            return
        for a in h.adapters:
            self.unserve(p, f"{model}/{a}")
        del p.held[model]
        self.unserve(p, model)

    def index(self, p: replica.Replica) -> None:
        """Requests for what a replica shows may go there."""
        for m, adapters in p.shown().items():
            self.holders.setdefault(m, set()).add(p.id)
            for a in adapters:
                self.holders.setdefault(f"{m}/{a}", set()).add(p.id)

    def unserve(self, p: replica.Replica, item: str) -> None:
        """Requests for an item go there no more."""
        on = self.holders.get(item)
        if on:
            on.discard(p.id)
            if not on:
                del self.holders[item]

    def show(self, p: replica.Replica) -> None:
        """The feed's row of a replica; times alone do not make it a changed one."""
        row = {k: p.row.get(k) for k in KEEP}
        row["leaves_in_ms"], row["cold_ms"] = p.leaves, p.row.get("cold_ms") or 0
        row["models"], row["loading"] = p.shown(), p.coming()
        old = self.rows.get(p.id)
        self.rows[p.id] = row
        if old is None or plain(old) != plain(row):
            self.changed.add(p.id)


def plain(row: state.Row) -> state.Row:
    """A row without its times."""
    return {**row, "leaves_in_ms": row["leaves_in_ms"] is None, "cold_ms": row["cold_ms"] > 0}
