"""What all owners know of all model engines, indexed for placement."""

import bisect
import dataclasses
import enum

import sortedcontainers
import xxhash


class Room(enum.IntEnum):
    """How room for a model comes about, the cheapest first."""

    # Memory that is free.
    FREE = 0
    # After unloading replicas that are not needed.
    SPARE = 1
    # After unloading models that others are waiting to replace.
    TURN = 2


@dataclasses.dataclass(frozen=True)
class ServerNews:
    """State of an engine, as its owner spreads it.

    Attributes:
        name: Name of the backend server.
        zone: Availability zone, from its declaration.
        accelerators: Number of accelerators, from its declaration.
        room_bytes: Room for a model by `Room`; a later one includes the
            earlier ones.
        ready: Models that are ready and will stay so.
        coming: Models being loaded, or for which room is being made.
        failing: Models whose load failed here and that wait for a retry.
        is_open: Whether it takes models.
    """

    name: str
    zone: str
    accelerators: int
    room_bytes: tuple[int, int, int]
    ready: frozenset[str] = frozenset()
    coming: frozenset[str] = frozenset()
    failing: frozenset[str] = frozenset()
    is_open: bool = True

    def to_value(self):
        """Return the value of its gossip record."""
        return [
            [*self.room_bytes],
            sorted(self.ready),
            sorted(self.coming),
            sorted(self.failing),
            self.is_open,
        ]


def from_value(value, declared):
    """Return the news of a gossip record.

    Args:
        value: Value of the record.
        declared: Declaration of the backend server.

    Raises:
        ValueError: If the value has another form.
    """
    try:
        rooms, ready, coming, failing, is_open = value
        free, spare, turn = (int(room) for room in rooms)
        names = [
            frozenset(map(str, part)) for part in (ready, coming, failing)
        ]
    except TypeError as exc:
        raise ValueError(f'expected the state of a server: {exc}') from exc
    return ServerNews(
        declared.name,
        declared.zone,
        declared.accelerators,
        (free, spare, turn),
        *names,
        bool(is_open),
    )


def _score(model, server):
    return xxhash.xxh64_intdigest(f'{model}\0{server}'.encode())


class Fleet:
    """News of all engines with an index by model and by room.

    A lookup walks the servers in the model's rendezvous order until one has
    room. The order is kept for each model that was looked up.
    """

    def __init__(self):
        self._news = {}
        self._ready = {}
        self._holders = {}
        self._rooms = tuple(sortedcontainers.SortedList() for _ in Room)
        self._orders = {}

    def get(self, name):
        """Return the news of a server, or None."""
        return self._news.get(name)

    def names(self):
        """Return the names of all servers."""
        return self._news.keys()

    def put(self, news):
        """Take over news of a server."""
        if self._news.get(news.name) == news:
            return
        if news.name not in self._news:
            for model, order in self._orders.items():
                bisect.insort(order, (_score(model, news.name), news.name))
        self._unindex(news.name)
        self._news[news.name] = news
        for model in news.ready:
            self._ready.setdefault(model, set()).add(news.name)
        for model in news.ready | news.coming:
            self._holders.setdefault(model, set()).add(news.name)
        for room in Room:
            self._rooms[room].add(news.room_bytes[room])

    def drop(self, name):
        """Forget a server."""
        if name in self._news:
            self._unindex(name)
            del self._news[name]
            for model, order in self._orders.items():
                order.remove((_score(model, name), name))

    def _unindex(self, name):
        news = self._news.get(name)
        if news is None:
            return
        for index in (self._ready, self._holders):
            for model in news.ready | news.coming:
                servers = index.get(model, set())
                servers.discard(name)
                if not servers:
                    index.pop(model, None)
        for room in Room:
            self._rooms[room].remove(news.room_bytes[room])

    def ready(self, model):
        """Return the servers on which a model is ready."""
        return self._ready.get(model, frozenset())

    def holders(self, model):
        """Return the servers on which a model is ready or coming."""
        return self._holders.get(model, frozenset())

    def order(self, model):
        """Return all servers in the rendezvous order of a model."""
        order = self._orders.get(model)
        if order is None:
            order = sorted((_score(model, name), name) for name in self._news)
            self._orders[model] = order
        return [name for _, name in order]

    def find_server(self, model, size_bytes, accelerators, room, taken=None):
        """Return the server that should load a model, or None.

        The first server in rendezvous order with room, so that all instances
        find the same one; one in a zone without a replica comes first.

        Args:
            model: Model, as ``name@version``.
            size_bytes: Memory of a replica.
            accelerators: Accelerators that a replica spans.
            room: How room may come about.
            taken: Memory by server that other models are about to take.
        """
        rooms = self._rooms[room]
        if not rooms or rooms[-1] < size_bytes:
            return None
        taken = taken or {}
        holders = self.holders(model)
        zones = {self._news[name].zone for name in holders}
        second_best = None
        if model not in self._orders:
            self.order(model)
        for _, name in self._orders[model]:
            news = self._news[name]
            left = news.room_bytes[room] - taken.get(name, 0)
            if (
                left < size_bytes
                or not news.is_open
                or news.accelerators < accelerators
                or model in news.failing
                or name in holders
            ):
                continue
            if news.zone not in zones:
                return name
            second_best = second_best or name
        return second_best

    def keepers(self, model, count):
        """Return the servers that keep a model if only some replicas stay.

        All owners find the same ones, so that they do not all unload theirs.
        """
        ready = self.ready(model)
        chosen, others, zones = [], [], set()
        for name in sorted(ready, key=lambda name: _score(model, name)):
            zone = self._news[name].zone
            (others if zone in zones else chosen).append(name)
            zones.add(zone)
        return frozenset((chosen + others)[:count])
