"""The settings of the local fleet's processes, as their files hold them."""

import dataclasses
import typing

SERVICE = "models"
SLOTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaAddress:
    """Where one stand-in replica listens and in which zone it is."""

    id: str
    zone: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class StandInSettings:
    """The stand-in replicas of one process and the address of their list; times in seconds."""

    listing: str
    replicas: tuple[ReplicaAddress, ...]
    load_s: float = 1.0
    piece_s: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """One process: its role, the role's settings, and after how many seconds it ends by itself."""

    role: str
    seconds: float
    settings: dict[str, typing.Any]


def stand_in_settings(document: dict[str, typing.Any]) -> StandInSettings:
    """The settings of stand-ins as read from JSON; KeyError or TypeError where they are none."""
    replicas = tuple(ReplicaAddress(**row) for row in document["replicas"])
    return StandInSettings(**{**document, "replicas": replicas})
