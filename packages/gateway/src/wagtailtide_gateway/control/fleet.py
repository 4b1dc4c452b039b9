"""Engines as the duty holder keeps them."""

import dataclasses

import anyio

from wagtailtide_gateway.model import backend


@dataclasses.dataclass
class Engine:
    """An engine as the duty holder keeps it.

    Attributes:
        residency: What it holds as far as is known, orders included.
        busy: Whether a model order is in progress.
        not_before: Time before which no order is given.
        loaded_at: Time at which each model was loaded.
        adapter_used_at: Time at which each adapter was last asked for.
        lock: Held while an order is given, so that counts follow.
        loading: Model that is to be loaded, or None.
        victims: Models that are being unloaded for it.
        from_store: Whether its weights come from the weight store.
    """

    residency: backend.Residency
    busy: bool = False
    not_before: float = 0.0
    loaded_at: dict = dataclasses.field(default_factory=dict)
    adapter_used_at: dict = dataclasses.field(default_factory=dict)
    lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    loading: str | None = None
    victims: frozenset[str] = frozenset()
    from_store: bool = False

    @property
    def coming_models(self):
        """Models that it will hold when its order is done."""
        held = set(self.residency.models) - self.victims
        return held | {self.loading} if self.loading else held


class Fleet:
    """All engines, by id of their backend server.

    Attributes:
        engines: Engine by id.
        fence: Fencing number of the duty under which they are ordered.
    """

    def __init__(self, config, servers, hub):
        self._config = config
        self._servers = servers
        self._hub = hub
        self.engines = {}
        self.fence = None

    def begin_duty(self, fence):
        """Forget all engines; what they hold is learnt anew."""
        self.engines.clear()
        self.fence = fence

    def follow_list(self):
        """Take in the list of servers; return ids of new engines.

        The orders of a new engine are counted only in its report, so it is
        busy until that is read.
        """
        states = self._servers.states
        for server_id in self.engines.keys() - states.keys():
            self.engines.pop(server_id).busy = True
        new_ids = []
        for server_id, state in states.items():
            service = self._config.deployment.services.get(
                state.server.service
            )
            if service is None or service.engine is None:
                continue
            listed = state.server.residency
            engine = self.engines.get(server_id)
            if engine is None or listed.born_ms != engine.residency.born_ms:
                self.engines[server_id] = Engine(listed, busy=True)
                new_ids.append(server_id)
        return new_ids

    def members(self, service):
        """Return the engines of a service that take work, with their ids."""
        return [
            (server_id, self.engines[server_id])
            for server_id, state in self._servers.states.items()
            if state.server.service == service.name
            and server_id in self.engines
            and state.takes_work
            and not self._hub.is_down(server_id)
        ]

    def adopt(self, server_id, engine, residency):
        """Note what an engine holds, and pass it on to the instances."""
        engine.residency = residency
        self._hub.publish(server_id, residency)
