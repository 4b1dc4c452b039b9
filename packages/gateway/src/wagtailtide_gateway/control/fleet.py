"""State of the engines, kept by the leader."""

import dataclasses

import anyio

from wagtailtide_gateway.model import backend

# Largest share of a service's engines with limits for which placement avoids
# these engines.
MAX_LIMITED_SHARE = 0.5


@dataclasses.dataclass
class EngineState:
    """State of one engine.

    Attributes:
        residency: Last known models of the engine, and its order count.
        busy: Whether a model order is in progress.
        unloading_adapter: Whether an accepted unload of an adapter waits for
            the requests that use it.
        not_before: Time in seconds before which the engine gets no order.
        loaded_at: Time in seconds at which each model was loaded.
        adapter_used_at: Time in seconds at which each adapter was last
            requested, by model and adapter.
        lock: Held while an order is sent, so that the next one has the new
            order count.
        loading: Model that is to be loaded, or None.
        victims: Models that are unloaded to free memory for it.
        from_store: Whether the weights come from the weight store.
    """

    residency: backend.Residency
    busy: bool = False
    unloading_adapter: bool = False
    not_before: float = 0.0
    loaded_at: dict = dataclasses.field(default_factory=dict)
    adapter_used_at: dict = dataclasses.field(default_factory=dict)
    lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    loading: str | None = None
    victims: frozenset[str] = frozenset()
    from_store: bool = False

    @property
    def planned_models(self):
        """Models that the engine holds once its order is done."""
        held = self.serving_models
        return held | {self.loading} if self.loading else held

    @property
    def serving_models(self):
        """Models that the engine holds now and that stay there."""
        return set(self.residency.models) - self.victims

    def count_order(self, order_count):
        """Count an accepted order.

        Args:
            order_count: Order count before the order. A report that was read
                while the answer was on its way may already include it.
        """
        order_count = max(self.residency.order_count, order_count + 1)
        self.residency = dataclasses.replace(
            self.residency, order_count=order_count
        )


class Fleet:
    """All engines, by id of their backend server.

    Attributes:
        engines: EngineState by server id.
        fence: Fencing token of the term in which the engines get orders.
    """

    def __init__(self, config, servers, cluster):
        self._config = config
        self._servers = servers
        self._cluster = cluster
        self.engines = {}
        self.fence = None

    def start_term(self, fence):
        """Drop all engines; their state is read again in the new term."""
        self.engines.clear()
        self.fence = fence

    def sync_with_list(self):
        """Apply the list of servers; return the ids of new engines.

        Only its report states how many orders a new engine has accepted, so
        the engine counts as busy until the report is read.
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
            if (
                engine is None
                or listed.process_start_ms != engine.residency.process_start_ms
            ):
                self.engines[server_id] = EngineState(listed, busy=True)
                new_ids.append(server_id)
        return new_ids

    def available_engines(self, service, software_version=None):
        """Return a service's engines that accept requests, with their ids.

        Args:
            service: The Service.
            software_version: Software version of the engines, None for all.
        """
        return [
            (server_id, self.engines[server_id])
            for server_id, state in self._servers.states.items()
            if state.server.service == service.name
            and software_version in (None, state.server.software_version)
            and server_id in self.engines
            and state.accepts_requests
            and not self._cluster.is_unreachable(server_id)
        ]

    def is_evacuated(self, server_id):
        """Return whether a listed engine is in an evacuated zone."""
        state = self._servers.states.get(server_id)
        return state is not None and state.is_evacuated

    def takes_orders(self, server_id, engine, now):
        """Return whether an engine may get an order now."""
        return (
            not engine.busy
            and not engine.unloading_adapter
            and now >= engine.not_before
            and not self._servers.states[server_id].pauses(now)
        )

    def limit_per_s(self, server_id):
        """Return the requests a second that a server takes, None for any."""
        state = self._servers.states.get(server_id)
        return None if state is None else state.limit.per_s

    def placement_limits(self, service):
        """Return the limit of each engine that placement has to avoid, by id.

        None of them if most engines of the service state limits: then the
        others have no room for the models of these.
        """
        limits = {
            server_id: self.limit_per_s(server_id)
            for server_id, _ in self.available_engines(service)
        }
        limited = {
            s: per_s for s, per_s in limits.items() if per_s is not None
        }
        if len(limited) > MAX_LIMITED_SHARE * len(limits):
            return {}
        return limited

    def is_limited(self, server_id):
        """Return whether a server states a limit of requests a second."""
        return self.limit_per_s(server_id) is not None

    def update_residency(self, server_id, engine, residency):
        """Set the residency of an engine and publish it to the instances."""
        engine.residency = residency
        self.publish(server_id, engine, residency)

    def publish(self, server_id, engine, residency):
        """Publish a residency unless the engine's state has been replaced.

        Orders of an earlier term, or to an earlier process of the engine, may
        end after that.
        """
        if self.engines.get(server_id) is engine:
            self._cluster.publish(server_id, residency)
