"""Table of the backend servers with their state, as known to an instance."""

import dataclasses

from wagtailtide_core.document import schema
from wagtailtide_core.retries import breaker as breakers
from wagtailtide_core.routing import load


@dataclasses.dataclass
class ServerState:
    """State of one backend server, as known to an instance.

    Attributes:
        declared: Declaration of the server in the document.
        ready: Resident model versions, as ``(name, version)``.
        adapters: Resident adapters, as ``(model, adapter)``.
        boot_id: Id of the server's current process, or None.
        former_boot_ids: Ids of the server's earlier processes.
        reported_as_of: Monotonic time in seconds of the last report.
        draining: Whether the server itself has announced its stop.
        leaving: Whether the platform's list shows the server as leaving.
        needs_adapter_orders: Whether the server has refused a request because
            the adapter was not resident, so that adapters must be loaded by
            orders. Other engines fetch adapters by themselves.
        stopping_since: Monotonic time in seconds at which the stop was first
            seen, or None.
        draining_stamp: Stamp of the last gossip record about draining.
        estimate: LoadEstimate of the server.
        breaker: Circuit breaker of the server.
    """

    declared: schema.BackendServer
    ready: frozenset[tuple[str, str]] = frozenset()
    adapters: frozenset[tuple[str, str]] = frozenset()
    boot_id: str | None = None
    former_boot_ids: set[str] = dataclasses.field(default_factory=set)
    reported_as_of: float = float('-inf')
    draining: bool = False
    leaving: bool = False
    needs_adapter_orders: bool = False
    stopping_since: float | None = None
    draining_stamp: tuple[int, int] | None = None
    estimate: load.LoadEstimate = dataclasses.field(
        default_factory=load.LoadEstimate
    )
    breaker: breakers.Breaker = dataclasses.field(
        default_factory=breakers.Breaker
    )

    @property
    def stopping(self):
        """Whether the server must not get new requests."""
        return self.draining or self.leaving


class ServerTable:
    """Backend servers, indexed by model and by group.

    With the index, the cost of a choice does not grow with the number of
    models times the number of servers.

    Attributes:
        servers: ServerStates by name.
    """

    def __init__(self):
        self.servers = {}
        self._by_model = {}
        self._by_group = {}

    def declare(self, servers):
        """Replace the declared servers.

        The state of a server is kept while its kind and address are the same.

        Args:
            servers: Declared BackendServers by name.
        """
        kept = {}
        for name, declared in servers.items():
            old = self.servers.get(name)
            unchanged = old is not None and (
                (old.declared.address, old.declared.kind)
                == (declared.address, declared.kind)
            )
            if unchanged:
                old.declared = declared
                kept[name] = old
            else:
                kept[name] = ServerState(declared)
        self.servers = kept
        self._by_model = {}
        self._by_group = {}
        for name, state in kept.items():
            if state.declared.kind is schema.ServerKind.PLAIN:
                group = self._by_group.setdefault(state.declared.group, set())
                group.add(name)
            for model in state.ready:
                self._by_model.setdefault(model, set()).add(name)

    def set_resident(self, name, ready, adapters):
        """Record the models and adapters that are resident on a server."""
        state = self.servers[name]
        ready = frozenset(ready)
        for model in state.ready - ready:
            self._by_model[model].discard(name)
        for model in ready - state.ready:
            self._by_model.setdefault(model, set()).add(name)
        state.ready = ready
        state.adapters = frozenset(adapters)

    def add_model(self, name, model):
        """Record that a model is resident on a server."""
        state = self.servers.get(name)
        if state is not None and model not in state.ready:
            self.set_resident(name, state.ready | {model}, state.adapters)

    def forget_adapter(self, name, adapter):
        """Record a server's statement that an adapter is not resident."""
        state = self.servers[name]
        state.adapters -= {adapter}
        state.needs_adapter_orders = True

    def add_adapter(self, name, adapter):
        """Record that an adapter is resident on a server."""
        state = self.servers.get(name)
        if state is not None and adapter not in state.adapters:
            state.adapters |= {adapter}

    def forget_model(self, name, model):
        """Record a server's statement that a model is not resident."""
        state = self.servers[name]
        self.set_resident(name, state.ready - {model}, state.adapters)

    def with_model(self, model):
        """Return the servers on which a ``(name, version)`` is resident."""
        return [self.servers[n] for n in self._by_model.get(model, ())]

    def in_group(self, group):
        """Return the plain servers of a group."""
        return [self.servers[n] for n in self._by_group.get(group, ())]
