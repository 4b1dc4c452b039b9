"""State of all model engines, as gossiped by their owners, with indexes."""

import bisect
import dataclasses
import enum

import sortedcontainers
import xxhash


class MemorySource(enum.IntEnum):
    """Where memory for a model comes from, the cheapest source first."""

    # Free memory.
    FREE = 0
    # Memory of replicas that are not needed.
    EVICTION = 1
    # Memory of models in use that have been ready for the minimum time.
    PREEMPTION = 2


@dataclasses.dataclass(frozen=True)
class EngineState:
    """State of an engine, as gossiped by its owner.

    Attributes:
        name: Name of the backend server.
        zone: Availability zone, from its declaration.
        accelerators: Number of accelerators, from its declaration.
        available_bytes: Memory that a model can get, by `MemorySource`; each
            source includes the ones before it.
        ready: Models that are ready and have no pending unload.
        pending: Models that are being loaded, or for which memory is being
            freed.
        in_backoff: Models whose load failed here and must not be retried yet.
        accepts_loads: Whether models may be loaded on it.
    """

    name: str
    zone: str
    accelerators: int
    available_bytes: tuple[int, int, int]
    ready: frozenset[str] = frozenset()
    pending: frozenset[str] = frozenset()
    in_backoff: frozenset[str] = frozenset()
    accepts_loads: bool = True

    def to_value(self):
        """Return the value of the engine's gossip record."""
        return [
            [*self.available_bytes],
            sorted(self.ready),
            sorted(self.pending),
            sorted(self.in_backoff),
            self.accepts_loads,
        ]


def from_value(value, declared):
    """Return the engine state in a gossip record.

    Args:
        value: Value of the record, as made by `EngineState.to_value`.
        declared: Declaration of the backend server.

    Raises:
        ValueError: If the value is malformed.
    """
    try:
        available_bytes, ready, pending, in_backoff, accepts_loads = value
        free, eviction, preemption = (int(size) for size in available_bytes)
        models = [
            frozenset(map(str, names))
            for names in (ready, pending, in_backoff)
        ]
    except TypeError as exc:
        raise ValueError(
            f'expected the state of an engine, got a bad value: {exc}'
        ) from exc
    return EngineState(
        declared.name,
        declared.zone,
        declared.accelerators,
        (free, eviction, preemption),
        *models,
        bool(accepts_loads),
    )


def _score(model, server):
    return xxhash.xxh64_intdigest(f'{model}\0{server}'.encode())


class Fleet:
    """State of all engines, indexed by model and by available memory.

    A lookup walks the servers in the model's rendezvous order until one has
    enough memory. The order is cached for each model that was looked up.
    """

    def __init__(self):
        self._states = {}
        self._ready = {}
        self._holders = {}
        self._available_sizes = tuple(
            sortedcontainers.SortedList() for _ in MemorySource
        )
        self._rendezvous_orders = {}

    def get(self, name):
        """Return the state of a server, or None."""
        return self._states.get(name)

    def names(self):
        """Return the names of all servers."""
        return self._states.keys()

    def put(self, state):
        """Insert or replace the state of a server."""
        if self._states.get(state.name) == state:
            return
        if state.name not in self._states:
            for model, ranked in self._rendezvous_orders.items():
                bisect.insort(ranked, (_score(model, state.name), state.name))
        self._remove_from_index(state.name)
        self._states[state.name] = state
        for model in state.ready:
            self._ready.setdefault(model, set()).add(state.name)
        for model in state.ready | state.pending:
            self._holders.setdefault(model, set()).add(state.name)
        for source in MemorySource:
            self._available_sizes[source].add(state.available_bytes[source])

    def drop(self, name):
        """Remove a server."""
        if name in self._states:
            self._remove_from_index(name)
            del self._states[name]
            for model, ranked in self._rendezvous_orders.items():
                ranked.remove((_score(model, name), name))

    def _remove_from_index(self, name):
        state = self._states.get(name)
        if state is None:
            return
        for index in (self._ready, self._holders):
            for model in state.ready | state.pending:
                servers = index.get(model, set())
                servers.discard(name)
                if not servers:
                    index.pop(model, None)
        for source in MemorySource:
            self._available_sizes[source].remove(state.available_bytes[source])

    def ready(self, model):
        """Return the servers on which a model is ready."""
        return self._ready.get(model, frozenset())

    def holders(self, model):
        """Return the servers on which a model is ready or pending."""
        return self._holders.get(model, frozenset())

    def rendezvous_order(self, model):
        """Return all servers in the rendezvous order of a model."""
        ranked = self._rendezvous_orders.get(model)
        if ranked is None:
            ranked = sorted(
                (_score(model, name), name) for name in self._states
            )
            self._rendezvous_orders[model] = ranked
        return [name for _, name in ranked]

    def find_server(
        self, model, size_bytes, accelerators, source, reserved_bytes=None
    ):
        """Return the server that should load a model, or None.

        This is the first server in rendezvous order with enough memory, so
        that all instances find the same one. Servers in a zone without a
        replica are preferred.

        Args:
            model: Model, as ``name@version``.
            size_bytes: Memory of a replica.
            accelerators: Number of accelerators that a replica spans.
            source: Most expensive source of memory that may be used.
            reserved_bytes: Memory reserved for other models, by server.
        """
        available_sizes = self._available_sizes[source]
        if not available_sizes or available_sizes[-1] < size_bytes:
            return None
        reserved_bytes = reserved_bytes or {}
        holders = self.holders(model)
        zones = {self._states[name].zone for name in holders}
        fallback = None
        if model not in self._rendezvous_orders:
            self.rendezvous_order(model)
        for _, name in self._rendezvous_orders[model]:
            state = self._states[name]
            left_bytes = state.available_bytes[source] - reserved_bytes.get(
                name, 0
            )
            if (
                left_bytes < size_bytes
                or not state.accepts_loads
                or state.accelerators < accelerators
                or model in state.in_backoff
                or name in holders
            ):
                continue
            if state.zone not in zones:
                return name
            fallback = fallback or name
        return fallback

    def servers_to_keep(self, model, count):
        """Return the servers that keep a model when replicas are reduced.

        All owners compute the same set, so that they do not all unload their
        replica.

        Args:
            model: Model, as ``name@version``.
            count: Number of replicas to keep.
        """
        ready = self.ready(model)
        chosen, others, zones = [], [], set()
        for name in sorted(ready, key=lambda name: _score(model, name)):
            zone = self._states[name].zone
            (others if zone in zones else chosen).append(name)
            zones.add(zone)
        return frozenset((chosen + others)[:count])
