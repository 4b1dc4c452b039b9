"""Backend servers as the platform lists them and as they report."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens."""

    host: str
    port: int

    def __str__(self):
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class ResidentModel:
    """A model in a server's accelerator memory."""

    name: str
    version: int
    adapters: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Residency:
    """What a server holds.

    Attributes:
        born_ms: Start of the server's process, a Unix time.
        order_count: Orders that it has accepted since then, None where the
            source does not state it.
        models: Resident models by name.
        in_memory: Models of which its host keeps a copy in memory.
        on_disk: Models of which its host keeps a copy on disk.
    """

    born_ms: int
    order_count: int | None
    models: Mapping[str, ResidentModel]
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One start of a backend server, from the platform's list.

    Attributes:
        id: Identifier that the server states of itself.
        service: Service that it belongs to.
        address: Where it takes requests.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        leaving: Whether it takes no new work.
        time_left_s: Seconds until it is gone, when known.
        residency: What it holds.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    time_left_s: float | None
    residency: Residency


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reports, some hundred milliseconds old.

    Attributes:
        residency: What it holds.
        busy: Whether it carries out an order.
        running: Requests that run.
        queued: Requests that wait in it.
        incoming_adapters: Adapters on their way.
    """

    residency: Residency
    busy: bool
    running: int
    queued: int
    incoming_adapters: int


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A change of what an engine holds.

    Attributes:
        load: True to load, False to unload.
        model: Name of the model.
        adapter: Name of an adapter of that model, or None.
        order_count: Orders that the engine must have accepted before.
        holder: Name of the instance that orders.
        fence: Fencing number of the duty to order.
    """

    load: bool
    model: str
    adapter: str | None
    order_count: int
    holder: str
    fence: int
