"""Leader with engines that only record and apply its orders."""

import dataclasses
import types

import anyio
from wagtailtide_gateway import ports
from wagtailtide_gateway.control import cluster_state
from wagtailtide_gateway.control import evacuations
from wagtailtide_gateway.control import fleet
from wagtailtide_gateway.control import servers
from wagtailtide_gateway.model import deployment

from tests import builders

SERVICE = 'engines'


class FakeLeadership:
    """Leadership that is always held."""

    fence = 1
    is_leader = True


class FakeEngineClient:
    """Client of engines that carry out each order at once.

    Args:
        fleet: The Fleet.

    Attributes:
        sent: Time, server id, load, model and adapter of each order.
        statuses: HTTP statuses of the next orders; 202 once it is empty.
        busy: Whether reports state that an order is in progress.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.sent = []
        self.statuses = []
        self.busy = False
        self._models = {}

    async def send_order(self, server_id, engine, load, model, adapter=None):
        """Record and apply an order."""
        now = anyio.current_time()
        self.sent.append((now, server_id, load, model, adapter))
        status = self.statuses.pop(0) if self.statuses else 202
        if status == 202 and adapter is None:
            models = dict(engine.residency.models)
            models.pop(model, None)
            if load:
                models |= builders.make_residency([model]).models
            self._models[server_id] = models
        return status

    def replace_models(self, server_id, *models):
        """Let the reports of an engine state other models."""
        self._models[server_id] = builders.make_residency(models).models

    async def refresh(self, server_id, engine):
        """Set an engine's residency from the orders it accepted."""
        models = self._models.get(server_id, engine.residency.models)
        engine.residency = dataclasses.replace(
            engine.residency, models=dict(models)
        )
        return types.SimpleNamespace(busy=self.busy)

    async def await_idle(self, server_id, engine):
        """Wait until reports state that no order is in progress."""
        while self._fleet.engines.get(server_id) is engine:
            report = await self.refresh(server_id, engine)
            if not report.busy:
                return True
            await anyio.sleep(0.1)
        return False


class LeaderFixture:
    """Objects that the leader's orders need.

    Attributes:
        fleet: The Fleet.
        cluster: The ClusterState.
        client: The FakeEngineClient.
        servers: The ServerView.
        evacuations: The EvacuationView, at first without evacuated zones.
        config: Stand-in for the ConfigView, with a deployment.
    """

    def __init__(self, *listed, engine=None):
        if engine is None:
            models = {n: builders.make_model(n) for n in ('a', 'b', 'c')}
            engine = deployment.Engine(24, 200_000.0, 2, 2.0, models)
        service = deployment.Service(SERVICE, 400, engine)
        self.config = types.SimpleNamespace(
            deployment=builders.make_deployment(services={SERVICE: service}),
            version=1,
            value=None,
            age_s=0.0,
        )
        self.evacuations = evacuations.EvacuationView(5.0)
        self.servers = servers.ServerView(
            lambda obj: obj.value, lambda: None, self.evacuations
        )
        self._revision = 0
        self.set_evacuated_zones()
        self.set_listed_servers(*listed)
        self.cluster = cluster_state.ClusterState(
            self.config, self.servers, FakeLeadership()
        )
        self.fleet = fleet.Fleet(self.config, self.servers, self.cluster)
        self.client = FakeEngineClient(self.fleet)

    @property
    def service(self):
        """The service of the engines."""
        return self.config.deployment.services[SERVICE]

    def set_listed_servers(self, *listed):
        """Replace the list of servers."""
        self._revision += 1
        objects = [
            ports.StoredObject(server.id, self._revision, server)
            for server in listed
        ]
        self.servers.apply_list(objects, self._revision, anyio.current_time())

    def set_evacuated_zones(self, *zones):
        """Replace the evacuated zones."""
        self._revision += 1
        objects = [
            ports.StoredObject(zone, self._revision, {}) for zone in zones
        ]
        self.evacuations.apply_list(
            objects, self._revision, anyio.current_time()
        )

    def add_listed_engines(self):
        """Add the listed engines to the fleet and mark them as idle."""
        for server_id in self.fleet.sync_with_list():
            self.fleet.engines[server_id].busy = False

    def published_models(self, server_id):
        """Return the models published to the instances for a server."""
        published = self.cluster._residencies.get(server_id)
        if published is None:
            return set(self.servers.states[server_id].server.residency.models)
        return set(published.residency.models)
