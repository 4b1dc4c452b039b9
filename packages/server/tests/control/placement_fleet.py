"""Placement of several instances on engine stand-ins, without sockets."""

import contextlib
import random
import types

import anyio
import httpx
from wagtailtide_core.config import catalog
from wagtailtide_core.document import schema
from wagtailtide_core.gossip import records
from wagtailtide_core.gossip import table
from wagtailtide_core.invariants import checks
from wagtailtide_core.leases import session
from wagtailtide_core.membership import view as views
from wagtailtide_core.placement import targets
from wagtailtide_server.control import ensure
from wagtailtide_server.control import order_client
from wagtailtide_server.control import placement
from wagtailtide_server.storage import client
from wagtailtide_testing import memory
from wagtailtide_testing.standins import engine as engines

HORIZON_S = 60.0
SESSION_S = 10.0
GIB = 1 << 30


class Store(memory.MemoryStore):
    """MemoryStore with `list`; calls of a paused instance wait."""

    def __init__(self):
        super().__init__()
        self.rng = random.Random(1)
        self.reads = 0

    async def get(self, key, *, activity=None):
        self.reads += 1
        return await super().get(key, activity=activity)

    async def list(self, prefix, *, activity=None):
        await self._call()
        items = tuple(
            found
            for key, found in self._objects.items()
            if key.startswith(prefix)
        )
        return client.Listing(items, self._revision, anyio.current_time())

    def for_instance(self, instance):
        return _GatedStore(self, instance)


class _GatedStore:
    def __init__(self, store, instance):
        self.rng = store.rng
        self._store = store
        self._instance = instance

    def __getattr__(self, name):
        async def call(*args, **kwargs):
            await self._instance.wait_if_paused()
            return await getattr(self._store, name)(*args, **kwargs)

        return call


class _Connection:
    def __init__(self):
        self.silent = False
        self.done = anyio.Event()

    def abort(self):
        self.done.set()


class Network(httpx.AsyncBaseTransport):
    """Transport to engines; a request arrives even if its sender is gone."""

    def __init__(self, fleet, instance):
        self._fleet = fleet
        self._instance = instance

    async def handle_async_request(self, request):
        await self._instance.wait_if_paused()
        engine = self._fleet.engines[f'e{request.url.port}']
        if engine.is_down(anyio.current_time()):
            raise httpx.ConnectError('refused')
        conn = _Connection()
        body = await request.aread()
        parts = []

        async def receive():
            if parts or conn.done.is_set():
                await anyio.sleep_forever()
            parts.append(None)
            return {'type': 'http.request', 'body': body}

        async def send(message):
            parts.append(message)
            if message['type'] == 'http.response.body':
                conn.done.set()

        scope = {
            'type': 'http',
            'method': request.method,
            'path': request.url.path,
            'query_string': request.url.query,
            'headers': request.headers.raw,
            'state': {'connection': conn},
        }
        app = engines.make_app(engine)
        self._fleet.group.start_soon(app, scope, receive, send)
        await conn.done.wait()
        if len(parts) < 3:
            raise httpx.ReadError('reset')
        content = b''.join(part.get('body', b'') for part in parts[2:])
        return httpx.Response(parts[1]['status'], content=content)


class Instance:
    """Placement, and the parts of a control plane that it uses."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.resumed = anyio.Event()
        self.resumed.set()
        self.lease = session.Lease()
        self.invariants = checks.Invariants()
        self.caught_up = True
        self.boot = 1
        self.config = types.SimpleNamespace(catalog=fleet.catalog)
        self.peers = fleet.peers.peer(name)
        self.table = table.Table('punjab', 0.0)
        local_member = views.Member(name, name, zone, 'punjab', 1)
        self.view = views.MemberView(local_member, 0.0)
        self.store = fleet.store.for_instance(self)
        self.placement = placement.Placement(
            self,
            self.store,
            self.lease,
            self.invariants,
            random.Random(name),
            order_client.make_client(Network(fleet, self)),
        )
        self.ensurer = ensure.Ensurer(self, self.placement)
        self._counter = 0
        self._version = None

    async def wait_if_paused(self):
        await self.resumed.wait()

    def pause(self):
        if self.resumed.is_set():
            self.resumed = anyio.Event()

    def resume(self):
        self.resumed.set()

    async def run(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self._keep_session)
            group.start_soon(self._run_placement)

    async def _run_placement(self):
        while True:
            await self.wait_if_paused()
            await self.placement.tick()
            await anyio.sleep(placement.PLAN_INTERVAL_S)

    async def _keep_session(self):
        while True:
            try:
                await self._renew()
            except client.StoreError:
                with contextlib.suppress(client.StoreError):
                    found = await self.store.get(f'sessions/{self.name}')
                    self._version = found.version if found else None
            await anyio.sleep(SESSION_S)

    async def _renew(self):
        await self.wait_if_paused()
        self._counter += 1
        record = session.SessionRecord(
            self.name, self.boot, self._counter, '', '', 0.0, HORIZON_S
        )
        sent_at = anyio.current_time()
        self.lease.record_sent(sent_at, HORIZON_S)
        self._version = await self.store.put(
            f'sessions/{self.name}', record.encode(), self._version
        )
        self.lease.record_confirmed(sent_at, HORIZON_S, anyio.current_time())


class Fleet:
    """Instances, engines and models in one zone."""

    def __init__(self, models, engine_settings, instances=('a', 'b')):
        self.models = {m.name: m for m in models}
        self.store = Store()
        self.peers = memory.MemoryNetwork()
        self.engines = {
            f'e{number}': engines.Engine(settings, random.Random(number))
            for number, settings in enumerate(engine_settings, 1)
        }
        servers = tuple(
            schema.BackendServer(
                name=name,
                kind=schema.ServerKind.ENGINE,
                group='engines',
                address=f'127.0.0.1:{name[1:]}',
                zone='gulberg',
                memory_bytes=engine.settings.memory_bytes,
                adapter_pool_bytes=engine.settings.adapter_pool_bytes,
                accelerators=1,
                checks_fences=engine.settings.checks_fences,
            )
            for name, engine in self.engines.items()
        )
        document = schema.Document(
            service='lahore',
            models=tuple(models),
            backend_servers=servers,
            weight_store=schema.WeightStore(loads_per_s=100.0),
            limits=schema.Limits(ownership_horizon_s=HORIZON_S),
        )
        self.catalog = catalog.build({'lahore': document}, {'lahore': 1})
        self.instances = {n: Instance(self, n, 'gulberg') for n in instances}
        self.cut = set()

    @contextlib.asynccontextmanager
    async def running(self):
        async with anyio.create_task_group() as self.group:
            for inst in self.instances.values():
                for other in self.instances.values():
                    inst.view.merge(other.view.local_member, 0.0)
                self.group.start_soon(inst.run)
            self.group.start_soon(self._gossip)
            yield self
            self.group.cancel_scope.cancel()

    async def _gossip(self):
        while True:
            await anyio.sleep(0.5)
            now = anyio.current_time()
            for inst in self.instances.values():
                for other in self.instances.values():
                    if {inst.name, other.name} & self.cut:
                        continue
                    for kind in (records.Kind.SERVER, records.Kind.DEMAND):
                        other.table.merge(
                            inst.table.of_kind(kind, now), 'gossip', now
                        )

    def mark(self, name, state):
        """Set the state in which the others see an instance.

        One that is set to FAILED is also cut off from gossip and calls.
        """
        if state is views.State.FAILED:
            self.cut.add(name)
            self.peers.cut.add(name)
        else:
            self.cut.discard(name)
            self.peers.cut.discard(name)
        for other in self.instances.values():
            if other.name != name:
                entry = other.view._entries[name]
                member = entry.member
                entry.member = views.Member(
                    member.name,
                    member.address,
                    member.zone,
                    member.region,
                    member.incarnation,
                    state,
                )

    def owners_of(self, server):
        """Return the instances that have claimed a server."""
        return [
            inst
            for inst in self.instances.values()
            if server in inst.placement.ownership.owned
        ]

    def ready_on(self, model):
        """Return the engines on which a model is ready."""
        key = targets.model_key(self.models[model])
        found = []
        for name, engine in self.engines.items():
            engine.advance(anyio.current_time())
            held = engine.accelerator.models.get(key)
            if held is not None and held.state == 'ready':
                found.append(name)
        return found

    async def wait_ready(self, model, timeout_s):
        """Ask for a model on each running instance until it is ready."""
        with anyio.fail_after(timeout_s):
            while not self.ready_on(model):
                for inst in self.instances.values():
                    if inst.resumed.is_set():
                        now = anyio.current_time()
                        key = targets.model_key(self.models[model])
                        inst.placement.gossip.meter.record(key, 100.0, now)
                        await inst.ensurer.ensure(model)
                await anyio.sleep(1.0)

    def may_order(self, server):
        """Return the names of the instances that may send orders to it."""
        names = []
        for inst in self.owners_of(server):
            owned = inst.placement.ownership.owned[server]
            if inst.placement.ownership.may_order(owned):
                names.append(inst.name)
        return names

    def overcommitted(self):
        """Return how often the engines counted overcommitted memory."""
        return sum(
            engine.as_record()['counts']['overcommitted']
            for engine in self.engines.values()
        )

    def violations(self):
        """Return the names of the violated invariants."""
        return {
            name
            for inst in self.instances.values()
            for name in inst.invariants.violated
        }


def make_models(count, gib=30, min_replicas=1):
    return [
        schema.Model(
            name=f'm{number}',
            version='1',
            weights_bytes=gib * GIB - 1,
            kv_reserve_bytes=1,
            min_replicas=min_replicas,
        )
        for number in range(count)
    ]


def unfenced_engine(**fields):
    """Return settings of an engine that carries out every order it gets."""
    values = {
        'memory_bytes': 80 * GIB,
        'checks_fences': False,
        'refuses_overcommit': False,
        'dedupes_orders': False,
    }
    return engines.EngineSettings(**{**values, **fields})


def fenced_engine(**fields):
    """Return the same settings, but the engine checks fencing tokens."""
    return unfenced_engine(**{'checks_fences': True, **fields})
