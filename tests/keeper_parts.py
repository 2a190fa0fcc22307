"""Stand-ins round keepers: a placement that orders all the time, a proxy that follows."""

import basaltport.fleet.follow as follow
import basaltport.member as member
import basaltport.placement.effects as effects


class Placement:
    """Orders something with every tick; keeps what it was told."""

    def __init__(self):
        self.rows, self.changed, self.told, self.deposed = {}, set(), [], False
        self.ready = None

    def start(self, now, fence, holder):
        self.fence, self.holder, self.ready = fence, holder, now + self.hold_ms
        self.rows = {}
        return [effects.List()]

    def stop(self):
        self.ready = None
        return []

    def tick(self, now):
        if now < self.ready:
            return []
        return [effects.Order(1, "r1", "a:1", "load", "m", None, self.holder, self.fence)]

    def configure(self, now, document, drains):
        self.document, self.drains = document, drains
        return []

    def listed(self, now, rows):
        self.put({r["id"]: r for r in rows})
        return []

    def put(self, rows):
        self.changed |= {i for i in rows.keys() | self.rows.keys() if rows.get(i) != self.rows.get(i)}
        self.rows = rows

    def facts(self, now, item):
        return {"state": "loading", "retry_after_ms": 100}

    def __getattr__(self, name):
        def told(now, *args):
            self.told.append((name, *args))
            return []

        return told


class Proxy(follow.FollowMixin, member.Member):
    TICKS = ("tick_follow",)

    def __init__(self, me, seed, now):
        member.Member.__init__(self, me, seed, now)
        self.follow_start()
        self.heard_facts = {}
        self.changes = []

    def on_facts(self, items):
        self.heard_facts.update(items)

    def rows_changed(self, ids):
        self.changes.append(set(ids))

    def usage(self):
        return {"m": 1}, {}
