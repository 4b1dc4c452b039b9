"""Backend servers, their listed and reported state, and orders to engines."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Host and port at which a process listens."""

    host: str
    port: int

    def __str__(self):
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class ResidentModel:
    """A model in a server's accelerator memory, with its loaded adapters."""

    name: str
    version: int
    adapters: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Residency:
    """Models that a server holds, as listed or reported.

    Attributes:
        process_start_ms: Unix time in milliseconds at which the server's
            process started.
        order_count: Number of orders that the process has accepted, None where
            the source does not state it.
        models: Resident models by name.
        in_memory: Models with a copy in the host's memory.
        on_disk: Models with a copy on the host's disk.
    """

    process_start_ms: int
    order_count: int | None
    models: Mapping[str, ResidentModel]
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One process of a backend server, as listed by the platform.

    A restarted server may keep its id; its residency then has a later start.

    Attributes:
        id: Identifier that the server states itself.
        service: Name of the service that the server belongs to.
        address: Address at which the server accepts requests.
        zone: Availability zone of the server.
        slots: Requests that the server runs at once.
        leaving: Whether the server accepts no new requests.
        time_left_s: Seconds until the server stops, None if not known.
        residency: Models that the server holds.
        software_version: Version of the server's software, not of the weights
            of its models.
        cold_remaining_s: Seconds for which the server was still cold when the
            entry was written, None if it does not state it.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    time_left_s: float | None
    residency: Residency
    software_version: str
    cold_remaining_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reports; it lags by some hundred milliseconds.

    Attributes:
        residency: Models that the engine holds.
        busy: Whether an order is in progress.
        running: Number of running requests.
        queued: Number of requests in the engine's queue.
        incoming_adapters: Model and name of each adapter being loaded.
    """

    residency: Residency
    busy: bool
    running: int
    queued: int
    incoming_adapters: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine to load or unload a model or adapter.

    Attributes:
        load: True to load, False to unload.
        model: Name of the model.
        adapter: Name of an adapter of the model, None for the model itself.
        order_count: Number of orders that the engine must have accepted before
            this one.
        leader: Name of the instance that sends the order.
        fence: Fencing token of the leader.
    """

    load: bool
    model: str
    adapter: str | None
    order_count: int
    leader: str
    fence: int
