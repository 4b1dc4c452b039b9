"""A duty holder's surroundings with engines that only keep what is ordered."""

import dataclasses
import types

import anyio
from wagtailtide_gateway.control import fleet
from wagtailtide_gateway.control import hub
from wagtailtide_gateway.control import servers
from wagtailtide_gateway.model import deployment

from tests import builders

SERVICE = 'engines'


class FakeDuty:
    """The duty, always held."""

    fence = 1
    is_held = True


class FakeCalls:
    """Engines that carry orders out at once, unless told otherwise.

    Attributes:
        given: Time, server, load, model and adapter of each order.
        statuses: Answers to the next orders, 202 when there are none.
    """

    def __init__(self):
        self.given = []
        self.statuses = []
        self._held = {}

    async def order(self, server_id, engine, load, model, adapter=None):
        """Take an order."""
        now = anyio.current_time()
        self.given.append((now, server_id, load, model, adapter))
        status = self.statuses.pop(0) if self.statuses else 202
        if status == 202 and adapter is None:
            held = dict(engine.residency.models)
            held.pop(model, None)
            if load:
                held |= builders.make_residency([model]).models
            self._held[server_id] = held
        return status

    async def refresh(self, server_id, engine):
        """Read what an engine holds."""
        models = self._held.get(server_id, engine.residency.models)
        engine.residency = dataclasses.replace(
            engine.residency, models=dict(models)
        )
        return types.SimpleNamespace(busy=False)


class World:
    """What the orders of a duty holder need.

    Attributes:
        fleet: The Fleet.
        hub: The Hub.
        calls: The FakeCalls.
        servers: The ServerView.
        config: Holds the deployment.
    """

    def __init__(self, *listed):
        models = {n: builders.make_model(n) for n in ('a', 'b', 'c')}
        engine = deployment.Engine(24, 200_000.0, 2, 2.0, models)
        service = deployment.Service(SERVICE, 400, engine)
        self.config = types.SimpleNamespace(
            deployment=builders.make_deployment(services={SERVICE: service}),
            version=1,
            value=None,
            age_s=0.0,
        )
        self.servers = servers.ServerView(lambda obj: obj, lambda: None)
        self.list_servers(*listed)
        self.hub = hub.Hub(self.config, self.servers, FakeDuty())
        self.fleet = fleet.Fleet(self.config, self.servers, self.hub)
        self.calls = FakeCalls()

    @property
    def service(self):
        """The service of the engines."""
        return self.config.deployment.services[SERVICE]

    def list_servers(self, *listed):
        """Let the platform list these servers."""
        self.servers.states.clear()
        for server in listed:
            self.servers.states[server.id] = servers.ServerState(server)

    def learn(self):
        """Take the listed engines in, as if their reports were read."""
        for server_id in self.fleet.follow_list():
            self.fleet.engines[server_id].busy = False

    def published(self, server_id):
        """Return the models that the instances are told of."""
        _, residency = self.hub._residencies[server_id]
        return set(residency.models)
