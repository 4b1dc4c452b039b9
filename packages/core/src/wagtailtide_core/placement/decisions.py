"""Input and output of the planner: owned servers, loads and unloads."""

import dataclasses
import enum


class EvictionReason(enum.IntEnum):
    """Why a replica may be unloaded; the lowest value is unloaded first."""

    # Enough other replicas are ready.
    NOT_NEEDED = 0
    # The model has no demand.
    IDLE = 1
    # The model has demand, but has been ready for the minimum time.
    PREEMPTIBLE = 2


@dataclasses.dataclass(frozen=True)
class Resident:
    """A model that is ready on an owned server and may be unloaded.

    Attributes:
        key: Model, as ``name@version``.
        size_bytes: Accelerator memory of the replica.
        ready_since: Time in seconds since which it has been ready.
    """

    key: str
    size_bytes: int
    ready_since: float


@dataclasses.dataclass(frozen=True)
class OwnedServer:
    """A server that this instance owns.

    Attributes:
        name: Name of the server.
        zone: Availability zone of the server.
        accelerators: Number of accelerators.
        free_bytes: Free memory according to the MemoryAccount.
        residents: Models that are ready and have no pending unload.
        loading: Models with a load in progress, or with a load order that
            may still arrive.
        may_load: Whether models may be loaded on the server now.
        may_unload: Whether models may be unloaded from the server now.
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
    """A model to load on a server; the key is ``name@version``."""

    server: str
    key: str
    size_bytes: int


@dataclasses.dataclass(frozen=True)
class Unload:
    """A model to unload from a server.

    Attributes:
        server: Name of the server.
        key: Model, as ``name@version``.
        size_bytes: Accelerator memory of the replica.
        may_be_last: Whether the last listed replica may be unloaded.
        reason: Why the replica may be unloaded.
    """

    server: str
    key: str
    size_bytes: int
    may_be_last: bool
    reason: EvictionReason


@dataclasses.dataclass(frozen=True)
class Plan:
    """Loads and unloads to order now."""

    loads: tuple[Load, ...]
    unloads: tuple[Unload, ...]
