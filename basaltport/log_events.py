"""The events of the log: each has a number, a name and a meaning, which docs/operate/events.md lists too."""

import enum


class Event(enum.IntEnum):
    """Numbers are never given a second meaning."""

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
    LOAD_WAIT_STARTED = 50
    LOAD_WAIT_ENDED = 51
    TIMEOUT_CLASSIFIED = 52
    ZONE_ROLE_TAKEN = 60
    REPLICA_STARTED = 61
    REPLICA_UNREACHABLE = 62
    FENCED_OUT = 63
    ORDER = 64
    ORDER_FAILED = 65
    STORE_ROLE_TAKEN = 66
    KEY_RANGE_COMPLETE = 70
    PORT_CALL_FAILED = 80
    STEP_FAILED = 81

    @property
    def label(self) -> str:
        """The name as logs and pages show it."""
        return self.name.lower().replace("_", "-")


MEANINGS: dict[Event, str] = {
    Event.STARTED: "A process is up: its name, member id (`seat`), role, zone and addresses.",
    Event.STOPPING: "A process was asked to stop: it takes no more and finishes what runs.",
    Event.SETTINGS_REFUSED: "The settings file has findings; nothing was started.",
    Event.LEADER_HEARD: "This member follows a leader of a new term.",
    Event.CAMPAIGN: "A member heard no leader and asks all others for their vote.",
    Event.FOUNDING: "Enough expected members are here and none holds anything: the cluster is founded.",
    Event.LEADING: "This member leads from now on.",
    Event.LEDGERS_LOST: "Most members with a disk are gone: a new term goes on with those that live.",
    Event.STEPPED_DOWN: "This member leads no more; the reason is given.",
    Event.SEAT_ADDED: "A member votes from now on.",
    Event.SEAT_DROPPED: "A member was silent too long and votes no more.",
    Event.ROLES_ASSIGNED: "Duties were given to owners under a new fence.",
    Event.SEATS_MISSING: "No leader for five seconds: these members' votes are missing.",
    Event.DISK_OPENED: "The data folder was read; what was held is given.",
    Event.DISK_REFUSED: "The data folder cannot be used: the reason is given. Nothing was changed in it.",
    Event.SEAT_UNKNOWN: ("The data folder cannot prove who voted here: this is a new member without a vote."),
    Event.DISK_FAILED: "A write to the data folder failed.",
    Event.OVERRIDE: "An operator gave members up for lost: the cluster may go on without them.",
    Event.MEMBER_MET: "A member became known, or came back under a new id.",
    Event.STRANGER: "A frame came from another house; it was ignored.",
    Event.NAME_TWICE: "Another process uses this member's name; it was ignored.",
    Event.FRAME_REFUSED: "A garbled, oversize or wrong-version frame came; its connection was closed.",
    Event.OLD_GENERATION: "A leader of an earlier term still sends heartbeats; it is notified to step down.",
    Event.FRAME_REPLAYED: "A heartbeat long past came again; it lengthens no lease and changes nothing.",
    Event.CHANGE_REFUSED: "A change was refused; it is never in force.",
    Event.CHANGE_ACKNOWLEDGED: "A change is agreed, kept and in force at every leased node.",
    Event.CONFIGURATION_IN_FORCE: "This node now works by the configuration of the log index given.",
    Event.LOAD_WAIT_STARTED: "A shared wait for a cold model began.",
    Event.LOAD_WAIT_ENDED: "A shared wait ended: the model is loaded; the measured wait is given.",
    Event.TIMEOUT_CLASSIFIED: "A dispatch timed out; the controller's word names the phase.",
    Event.ZONE_ROLE_TAKEN: "This node is the steward of a zone under a new fence.",
    Event.REPLICA_STARTED: "A replica answered its steward, or came back as a new start.",
    Event.REPLICA_UNREACHABLE: "A replica stopped answering its steward.",
    Event.FENCED_OUT: "A replica saw a higher fence: this steward gives it no more orders.",
    Event.ORDER: "A steward orders a replica to load or unload.",
    Event.ORDER_FAILED: "An order was refused or its outcome is unknown.",
    Event.STORE_ROLE_TAKEN: "This node grants the weight store's permits.",
    Event.KEY_RANGE_COMPLETE: "This node holds its range of clients' keys completely.",
    Event.PORT_CALL_FAILED: "A call of this controller to its platform broke; the reason is given.",
    Event.STEP_FAILED: "A step of this process broke; the reason is given. It goes on.",
}
