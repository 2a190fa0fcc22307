"""The log events with their numbers, names and meanings; docs/operate/events.md lists them too."""

import enum


class Event(enum.IntEnum):
    """The log events; the number of a removed event is never reused."""

    STARTED = 1
    STOPPING = 2
    SETTINGS_REFUSED = 3
    LEADER_HEARD = 10
    CAMPAIGN = 11
    FOUNDING = 12
    LEADING = 13
    LEDGERS_LOST = 14
    STEPPED_DOWN = 15
    SEAT_ADDED = 16
    SEAT_DROPPED = 17
    ROLES_ASSIGNED = 18
    SEATS_MISSING = 19
    DISK_OPENED = 20
    DISK_REFUSED = 21
    SEAT_UNKNOWN = 22
    DISK_FAILED = 23
    OVERRIDE = 24
    MEMBER_MET = 30
    STRANGER = 31
    NAME_TWICE = 32
    FRAME_REFUSED = 33
    OLD_GENERATION = 34
    FRAME_REPLAYED = 35
    CHANGE_REFUSED = 40
    CHANGE_ACKNOWLEDGED = 41
    CONFIGURATION_IN_FORCE = 42
    REQUEST_FORWARDED = 43
    ZONE_ORDER_DROPPED = 44
    LOAD_WAIT_STARTED = 50
    LOAD_WAIT_ENDED = 51
    TIMEOUT_CLASSIFIED = 52
    LOAD_WAIT_ABANDONED = 53
    ZONE_ROLE_TAKEN = 60
    REPLICA_STARTED = 61
    REPLICA_UNREACHABLE = 62
    FENCED_OUT = 63
    ORDER_SENT = 64
    ORDER_FAILED = 65
    STORE_ROLE_TAKEN = 66
    ORDER_UNANSWERED = 67
    ORDER_REFUSED = 68
    HELD_MODELS_CORRECTED = 69
    KEY_RANGE_COMPLETE = 70
    PORT_CALL_FAILED = 80
    STEP_FAILED = 81
    INVARIANT_VIOLATED = 82

    @property
    def label(self) -> str:
        """Returns the name in the form of logs and pages: lower case with hyphens."""
        return self.name.lower().replace("_", "-")


MEANINGS: dict[Event, str] = {
    Event.STARTED: "A process is up: its name, member id, role, zone and addresses.",
    Event.STOPPING: "A process was asked to stop: it takes no more and finishes what runs.",
    Event.SETTINGS_REFUSED: "The settings file has findings; nothing was started.",
    Event.LEADER_HEARD: "This member follows a leader of a new term.",
    Event.CAMPAIGN: "A disk member heard no leader and asks all members for their vote.",
    Event.FOUNDING: (
        "Enough of the expected members are here and none holds anything: the cluster is founded."
    ),
    Event.LEADING: "This member leads from now on.",
    Event.LEDGERS_LOST: "Most disk members are gone: a new term goes on with those that live.",
    Event.STEPPED_DOWN: "This member leads no more; the reason is given.",
    Event.SEAT_ADDED: "A member was added to the agreed members.",
    Event.SEAT_DROPPED: "A member was silent too long and was removed from the agreed members.",
    Event.ROLES_ASSIGNED: "Singleton roles were given to owners under a new fencing token.",
    Event.SEATS_MISSING: "No leader for five seconds: these members' votes are missing.",
    Event.DISK_OPENED: "The data folder was read; what was held is given.",
    Event.DISK_REFUSED: "The data folder cannot be used: the reason is given. Nothing was changed in it.",
    Event.SEAT_UNKNOWN: (
        "The data folder cannot prove which member voted here: this is a new member id without a vote."
    ),
    Event.DISK_FAILED: "A write to the data folder failed.",
    Event.OVERRIDE: "An operator gave members up for lost: the cluster may go on without them.",
    Event.MEMBER_MET: "A member became known, or came back with a new member id.",
    Event.STRANGER: "A frame came from another cluster; it was ignored.",
    Event.NAME_TWICE: "Another process uses this member's name; it was ignored.",
    Event.FRAME_REFUSED: ("A garbled, oversize or wrong-version frame came; its connection was closed."),
    Event.OLD_GENERATION: "A leader of an old term still sends heartbeats; it is told to step down.",
    Event.FRAME_REPLAYED: ("A heartbeat long past came again; it lengthens no lease and changes nothing."),
    Event.CHANGE_REFUSED: "A change was refused; it is never in force.",
    Event.CHANGE_ACKNOWLEDGED: ("A change is committed, and in force at every node that holds a lease."),
    Event.CONFIGURATION_IN_FORCE: (
        "This node now works by the configuration of the version given; a proxy tells its routes and tenants."
    ),
    Event.REQUEST_FORWARDED: "An operator's request was read here, and waits for the leader.",
    Event.ZONE_ORDER_DROPPED: (
        "An evacuation, or the withdrawal of one, was not applied: it was read late, or its caller has gone."
    ),
    Event.LOAD_WAIT_STARTED: "A shared wait for a model that is not loaded began.",
    Event.LOAD_WAIT_ENDED: "A shared wait ended: the model is loaded; the measured wait is given.",
    Event.TIMEOUT_CLASSIFIED: (
        "An attempt timed out; what the controller says of the model names the phase."
    ),
    Event.LOAD_WAIT_ABANDONED: (
        "Nobody asks for an item any more before a replica held it; the loads that overtook it are given."
    ),
    Event.ZONE_ROLE_TAKEN: "This node is the controller of a zone under a new fencing token.",
    Event.REPLICA_STARTED: ("A replica answered its zone's controller for the first time since its start."),
    Event.REPLICA_UNREACHABLE: "A replica stopped answering its zone's controller.",
    Event.FENCED_OUT: ("A replica saw a higher fencing token: this controller gives it no more orders."),
    Event.ORDER_SENT: "A zone's controller orders a replica to load or unload.",
    Event.ORDER_FAILED: "An order was refused or its outcome is unknown.",
    Event.STORE_ROLE_TAKEN: "This node grants the weight store's load permits.",
    Event.ORDER_UNANSWERED: "An order got no answer; it may have been taken, and may still arrive.",
    Event.ORDER_REFUSED: "A replica or the owner of its shard refused an order; what it answered is given.",
    Event.HELD_MODELS_CORRECTED: (
        "A list or report changed what the leader takes a replica to hold, other than by an order's outcome."
    ),
    Event.KEY_RANGE_COMPLETE: "This node holds all claims on a range of clients' keys.",
    Event.PORT_CALL_FAILED: "A call of this controller to its platform broke; the reason is given.",
    Event.STEP_FAILED: "A step of this process broke; the reason is given. It goes on.",
    Event.INVARIANT_VIOLATED: "What must hold of every order does not: which invariant, of what, is given.",
}


def catalogue() -> list[str]:
    """Returns the rows of the table in docs/operate/events.md; a test compares the page with them."""
    return [f"| {int(event)} | {event.label} | {MEANINGS[event]} |" for event in Event]
