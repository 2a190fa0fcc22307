"""A replica as the holder of the orders knows it, and the plan of orders it is working on."""

LOAD = "load"
UNLOAD = "unload"


class Held:
    """A model on a replica; `adapters` by name and when each came. `leaving`: an unload of it was begun."""

    __slots__ = ("since", "adapters", "leaving", "off")

    def __init__(self, since):
        self.since = since
        self.adapters = {}
        self.leaving = False
        self.off = set()


class Step:
    """One order, sent again until it is done. `taken`: it was accepted; `unsure`: it may have been."""

    __slots__ = "kind model adapter disk sent at wait taken unsure order out paid tries".split()

    def __init__(self, kind, model, adapter="", disk=False):
        self.kind = kind
        self.model = model
        self.adapter = adapter
        self.disk = disk
        self.sent = None
        self.at = 0
        self.wait = 0
        self.taken = False
        self.unsure = False
        self.order = 0
        self.out = 0
        self.paid = None
        self.tries = 0

    @property
    def item(self):
        return f"{self.model}/{self.adapter}" if self.adapter else self.model

    @property
    def store(self):
        return self.kind == LOAD and not self.adapter and not self.disk


class Plan:
    """Steps in their order towards `goal`; `asked`: for a want, dropped when nobody wants it any more."""

    __slots__ = ("goal", "steps", "asked", "made")

    def __init__(self, goal, steps, asked, made):
        self.goal = goal
        self.steps = steps
        self.asked = asked
        self.made = made


class Replica:
    __slots__ = (
        *"id service address zone state leaves slots engine held touched missing disk synced plan".split(),
        *"dark ask_at ask_wait asked bars running running_at row".split(),
    )

    def __init__(self, rid):
        self.id = rid
        self.service = self.address = self.zone = self.state = ""
        self.leaves = None
        self.slots = 1
        self.engine = False
        self.held = {}
        self.touched = {}
        self.missing = {}
        self.disk = set()
        self.synced = False
        self.plan = None
        self.dark = 0
        self.ask_at = 0
        self.ask_wait = 250
        self.asked = None
        self.bars = {}
        self.running = 0.0
        self.running_at = 0
        self.row = {}

    def places(self):
        return sum(len(h.adapters) for h in self.held.values())

    def used(self, cat):
        """MB of weights and adapters, with what is on its way out."""
        n = 0.0
        for m, h in self.held.items():
            n += cat.size(self.service, m)
            n += len(h.adapters) * cat.size(self.service, m, "*") if h.adapters else 0
        return n

    def shown(self):
        out = {}
        for m, h in self.held.items():
            if not h.leaving:
                out[m] = sorted(a for a in h.adapters if a not in h.off)
        return out

    def coming(self):
        if self.plan is None:
            return []
        return [s.item for s in self.plan.steps if s.kind == LOAD]
