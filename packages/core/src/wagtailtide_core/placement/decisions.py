"""Own servers as the planner sees them, and what it decides."""

import dataclasses
import enum


class Spare(enum.IntEnum):
    """Why a replica may be given up, the best reason first."""

    NOT_NEEDED = 0
    IDLE = 1
    HAD_ITS_TURN = 2


@dataclasses.dataclass(frozen=True)
class Resident:
    """A model that is ready on an own server and that may be unloaded."""

    key: str
    size_bytes: int
    ready_since: float


@dataclasses.dataclass(frozen=True)
class OwnServer:
    """An own server.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        accelerators: Its number of accelerators.
        free_bytes: Memory that the account shows as free.
        residents: Models that are ready and will stay so.
        loading: Models with a load under way, or one that may still arrive.
        may_load: Whether models may be loaded on it now.
        may_unload: Whether models may be unloaded from it now.
    """

    name: str
    zone: str
    accelerators: int
    free_bytes: int
    residents: tuple[Resident, ...] = ()
    loading: frozenset[str] = frozenset()
    may_load: bool = True
    may_unload: bool = True


@dataclasses.dataclass(frozen=True)
class Load:
    """A model to be loaded on a server."""

    server: str
    key: str
    size_bytes: int


@dataclasses.dataclass(frozen=True)
class Unload:
    """A model to be unloaded.

    Attributes:
        server: Server.
        key: Model.
        size_bytes: Its memory.
        may_be_last: Whether no other replica has to be listed.
        reason: Why it may be given up.
    """

    server: str
    key: str
    size_bytes: int
    may_be_last: bool
    reason: Spare


@dataclasses.dataclass(frozen=True)
class Plan:
    """Orders to give now."""

    loads: tuple[Load, ...]
    unloads: tuple[Unload, ...]
