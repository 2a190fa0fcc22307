"""Defines the settings of the local fleet's processes, as stored in their settings files."""

import dataclasses
import typing

SERVICE = "models"
SLOTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaAddress:
    """The ID, zone and address (IP:PORT) of one stand-in replica."""

    id: str
    zone: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class StandInSettings:
    """The stand-in replicas of a process, the address of their list, and seconds per load and per piece."""

    listing: str
    replicas: tuple[ReplicaAddress, ...]
    load_s: float = 1.0
    piece_s: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """The role of a process, the role's settings, and the seconds after which the process exits by itself."""

    role: str
    seconds: float
    settings: dict[str, typing.Any]


def stand_in_settings(document: dict[str, typing.Any]) -> StandInSettings:
    """Convert parsed JSON into the settings of stand-ins; raises KeyError or TypeError if it is malformed."""
    replicas = tuple(ReplicaAddress(**row) for row in document["replicas"])
    return StandInSettings(**{**document, "replicas": replicas})
