"""A stand-in replica's logic, pure: the same for the simulator and for the HTTP stand-in."""

import basaltport.identifiers as identifiers


class Replica:
    def __init__(self, rid, room, slots, epoch, now):
        self.id = identifiers.ReplicaId(rid)
        self.room = room
        self.slots = slots
        self.epoch = epoch
        self.born = now
        self.fence = 0
        self.serial = 0
        self.held = {}
        self.running = {}
        self.record = []
        self.most = 0
        self.broken = []
        self.said = 0

    def used(self):
        return sum(h["size"] for h in self.held.values())

    def state(self, now, fence=0):
        self.fence = max(self.fence, fence)
        self.said += 1
        held = {}
        for i, h in self.held.items():
            row = {"state": h["state"], "size": h["size"], "for_ms": now - h["since"], "pool": h["pool"]}
            row["running"] = sum(1 for r in self.running.values() if r["item"] == i)
            row["idle_ms"] = 0 if row["running"] else now - h["last"]
            row["took_ms"] = h["took"]
            held[i] = row
        return {
            "replica": self.id,
            "epoch": self.epoch,
            "n": self.said,
            "up_ms": now - self.born,
            "fence": self.fence,
            "serial": self.serial,
            "room": self.room,
            "slots": self.slots,
            "running": len(self.running),
            "held": held,
        }

    def order(self, now, body):
        """(status, answer, item to load or None)."""
        f = body["fence"]
        if f < self.fence:
            return 409, {"error": "stale-fence", "ran": "no", "fence": self.fence}, None
        self.fence = f
        i = body["item"]
        h = self.held.get(i)
        if body["do"] == "unload":
            if h is None or h["state"] != "loaded" or any(r["item"] == i for r in self.running.values()):
                return 409, {"error": "in-use" if h else "not-held", "ran": "no", **self.state(now)}, None
            del self.held[i]
            return 200, self.state(now), None
        if h is not None:
            return 200, self.state(now), None
        if self.used() + body["size"] > self.room:
            self.broken.append({"rule": "room", "at": now, "item": i})
            return 409, {"error": "no-room", "ran": "no", **self.state(now)}, None
        row = {"state": "loading", "size": body["size"], "since": now}
        self.held[i] = {**row, "last": now, "took": 0, "pool": body["pool"]}
        return 200, self.state(now), i

    def loaded(self, now, item):
        h = self.held.get(item)
        if h is None or h["state"] != "loading":
            return
        h.update(state="loaded", took=now - h["since"], since=now, last=now)

    def admit(self, now, dispatch, serial, body):
        """None, or (status, error) of a refusal: it never ran and never will."""
        if serial < self.serial:
            return 409, "stale-serial"
        self.serial = serial
        item = f"{body['model']}/{body['adapter']}" if body.get("adapter") else body["model"]
        h = self.held.get(item)
        if h is None:
            return 409, "not-held"
        if h["state"] != "loaded":
            return 409, "starting"
        if len(self.running) >= self.slots:
            return 429, "busy"
        self.running[dispatch] = {"item": item, "at": now}
        self.most = max(self.most, len(self.running))
        self.record.append(
            {"dispatch": dispatch, "prompt": body["prompt"], "item": item, "at": now, "end": None}
        )
        return None

    def finish(self, now, dispatch):
        r = self.running.pop(dispatch, None)
        if r is None:
            return
        if r["item"] in self.held:
            self.held[r["item"]]["last"] = now
        for x in reversed(self.record):
            if x["dispatch"] == dispatch:
                x["end"] = now
                break


class Store:
    """The weight store's own count of loads at once."""

    def __init__(self, loads):
        self.loads = loads
        self.now_loading = 0
        self.most = 0
        self.total = 0

    def begin(self):
        self.now_loading += 1
        self.total += 1
        self.most = max(self.most, self.now_loading)

    def end(self):
        self.now_loading -= 1
