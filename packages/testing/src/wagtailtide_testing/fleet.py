"""Instances and stand-ins in one event loop, with fault injection.

An instance is an `Instance` object with real loopback sockets, not a process.
A crash resets its connections, refuses new ones and cancels its tasks; a pause
suspends all its tasks (see `fleet_network`). All instances share one clock, so
clock drift is not simulated.
"""

import contextlib
import dataclasses
import random

import anyio
from wagtailtide_server import instance
from wagtailtide_server import settings
from wagtailtide_server.storage import client

from wagtailtide_testing import builders
from wagtailtide_testing import fleet_network
from wagtailtide_testing import ports
from wagtailtide_testing import serving
from wagtailtide_testing.standins import engine
from wagtailtide_testing.standins import ledger
from wagtailtide_testing.standins import platform

ZONES = ('gulberg', 'anarkali')
REGION = 'punjab'
MODEL = builders.make_model()
SERVICE = 'lahore'
LISTENERS = ('callers', 'admin', 'peers')


class RecordingEngine(engine.Engine):
    """Engine that records prompts and restores its model after a crash.

    Attributes:
        ran_prompts: Prompts that were prefilled.
        prompt_crashes: Time and prompt of each crash caused by a prompt.
        restores_model: Whether the model is resident again after a boot.
    """

    def __init__(self, *args, **options):
        self.ran_prompts = set()
        self.prompt_crashes = []
        self.restores_model = False
        super().__init__(*args, **options)
        self.restores_model = True

    def _boot(self, fence):
        super()._boot(fence)
        access = self.cache.access

        def access_and_record(model, adapter, prompt, now):
            self.ran_prompts.add(prompt)
            return access(model, adapter, prompt, now)

        self.cache.access = access_and_record
        if self.restores_model:
            self.place_fleet_model()

    def crash(self, now, keep_conn=None):
        """Crash; if `keep_conn` is given, record the prompt that caused it."""
        trigger = self.faults.crash_on
        if keep_conn is not None and trigger:
            prompts = {job.prompt for job in self.jobs.values()}
            crash_prompts = [prompt for prompt in prompts if trigger in prompt]
            self.prompt_crashes += [(now, prompt) for prompt in crash_prompts]
        super().crash(now, keep_conn)

    def place_fleet_model(self):
        """Make the model of the fleet resident without a load."""
        size_bytes = MODEL.weights_bytes + MODEL.kv_reserve_bytes
        self.place_model(f'{MODEL.name}@{MODEL.version}', size_bytes)


@dataclasses.dataclass
class Node:
    """Instance of the fleet, which may be restarted under its name.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        inst: Latest `Instance` object.
        instances: All its `Instance` objects, oldest first.
        state: running, paused, stopping, stopped or crashed.
        addresses: Addresses of callers, admin and peers; kept by a restart,
            and reserved meanwhile.
        scope: Cancels the tasks of the latest `Instance`.
        ended: Event that is set when these tasks have ended.
    """

    name: str
    zone: str
    inst: object = None
    instances: list = dataclasses.field(default_factory=list)
    state: str = 'stopped'
    addresses: dict = dataclasses.field(default_factory=dict)
    scope: object = None
    ended: object = None


class Fleet:
    """Instances and stand-ins, connected by a network with faults.

    Attributes:
        platform: Platform stand-in.
        engines: Engine stand-ins by name.
        ledgers: Ledger stand-ins by name.
        nodes: `Node` of each instance by name.
        network: `fleet_network.Network` between them.
        document: Document that was published last.
        version: Version of that document in the platform.
        leaving: Names of backend servers that the platform lists as leaving.
    """

    def __init__(self, seed, organisations, engines=2, ledgers=2):
        self.rng = random.Random(seed)
        self.platform = platform.Platform()
        self.engines = {
            f'engine-{i}': RecordingEngine(
                engine.EngineSettings(
                    memory_bytes=80 * builders.GIB, fetches_adapters=True
                ),
                rng=random.Random(self.rng.random()),
            )
            for i in range(engines)
        }
        self.ledgers = {
            f'ledger-{i}': ledger.Ledger(rng=random.Random(self.rng.random()))
            for i in range(ledgers)
        }
        self.nodes = {}
        self.network = fleet_network.Network()
        self.document = None
        self.version = None
        self.leaving = set()
        self._organisations = organisations
        self._servers = []
        self._platform_url = None
        self._tasks = None
        self._reservations = contextlib.ExitStack()

    @contextlib.asynccontextmanager
    async def running(self, instances=3):
        """Run the fleet while the context is active."""
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(self.network.installed())
            stack.enter_context(self._reservations)
            await self._start_standins(stack)
            self.publish(
                builders.make_document(
                    SERVICE,
                    models=(MODEL,),
                    adapters=(builders.make_adapter(),),
                    organisations=self._organisations,
                    backend_servers=tuple(self._servers),
                    limits={'partial_key_trust_s': 30.0},
                )
            )
            self._tasks = await stack.enter_async_context(
                anyio.create_task_group()
            )
            for i in range(instances):
                await self.start(f'inst-{i}', ZONES[i % len(ZONES)])
            yield self
            self.network.heal()
            for name in self.nodes:
                self.network.resume(name)
            self._tasks.cancel_scope.cancel()

    async def _start_standins(self, stack):
        apps = {
            **{n: engine.make_app(e) for n, e in self.engines.items()},
            **{n: ledger.make_app(x) for n, x in self.ledgers.items()},
            'platform': platform.make_app(self.platform),
        }
        for i, (name, app) in enumerate(apps.items()):
            context = serving.serve_restartable(app)
            served = await stack.enter_async_context(context)
            self.network.nodes[served.port] = name
            fields = {'name': name, 'address': served.address}
            fields['zone'] = ZONES[i % len(ZONES)]
            if name in self.engines:
                self.engines[name].place_fleet_model()
                self._servers.append(builders.make_engine(**fields))
            elif name in self.ledgers:
                self._servers.append(builders.make_ledger(**fields))
            else:
                self._platform_url = served.url
        self.update_server_list()

    def publish(self, document):
        """Write a document to the platform; return its version."""
        self.document = document
        self.version = self.platform.objects.write(
            f'documents/{SERVICE}',
            builders.encode_document(document).encode(),
            self.version,
        )
        self.platform.wake_watches()
        return self.version

    def update_server_list(self):
        """Update the platform's list of backend servers."""
        items = [
            {
                'name': s.name,
                'address': s.address,
                'zone': s.zone,
                'state': 'leaving' if s.name in self.leaving else 'live',
            }
            for s in self._servers
        ]
        self.platform.set_list('backend_servers', items, anyio.current_time())

    def running_nodes(self, *states):
        """Return the nodes in one of the given states, by default running."""
        states = states or ('running',)
        return [n for n in self.nodes.values() if n.state in states]

    def split_by_zone(self, zone):
        """Return the names of the instances inside and outside a zone."""
        inside = {n.name for n in self.nodes.values() if n.zone == zone}
        return inside, set(self.nodes) - inside

    async def start(self, name, zone=None):
        """Start an instance, or restart it on the same addresses."""
        if name not in self.nodes:
            self.nodes[name] = Node(name, zone, addresses=self._reserve())
        node = self.nodes[name]
        if node.ended is not None:
            # The addresses are in use until the tasks have ended.
            await node.ended.wait()
        self.network.restore(name)
        node.scope, node.ended = anyio.CancelScope(), anyio.Event()
        await self._tasks.start(self._run, node)
        for address in node.addresses.values():
            self.network.nodes[int(address.rpartition(':')[2])] = name
        node.state = 'running'
        self._update_instance_list()
        return node

    def _reserve(self):
        reserved = self._reservations.enter_context(
            ports.reserve(serving.HOST, len(LISTENERS))
        )
        return {
            listener: f'{serving.HOST}:{port}'
            for listener, port in zip(LISTENERS, reserved, strict=True)
        }

    async def _run(self, node, task_status):
        fleet_network.CURRENT_NODE.set(node.name)
        cfg = settings.parse(
            {
                'name': node.name,
                'region': REGION,
                'zone': node.zone,
                'platform': self._platform_url,
                'seed_peers': [
                    n.addresses['peers']
                    for n in self.nodes.values()
                    if n is not node
                ],
                'balancer_lag_s': 1.0,
                **node.addresses,
            }
        )
        try:
            with node.scope:
                rng = random.Random(self.rng.random())
                async with client.StoreClient(
                    self._platform_url, rng=rng
                ) as store:
                    node.inst = instance.Instance(cfg, store, rng=rng)
                    node.instances.append(node.inst)
                    await node.inst.run(task_status=task_status)
        finally:
            if node.state == 'stopping':
                node.state = 'stopped'
                self._update_instance_list()
            node.ended.set()

    def stop(self, node):
        """Request a graceful stop of an instance."""
        node.state = 'stopping'
        self._update_instance_list()
        node.inst.request_stop()

    def crash(self, node):
        """Crash an instance: cancel its tasks and reset its connections."""
        node.state = 'crashed'
        self.network.kill(node.name)
        node.scope.cancel()
        self._update_instance_list()

    def pause(self, node):
        """Suspend all tasks of an instance."""
        node.state = 'paused'
        self.network.pause(node.name)

    def resume(self, node):
        """Resume a paused instance."""
        node.state = 'running'
        self.network.resume(node.name)

    def _update_instance_list(self):
        listed_states = {'stopping': 'leaving'}
        items = [
            {
                'name': n.name,
                'address': n.addresses['peers'],
                'zone': n.zone,
                'state': listed_states.get(n.state, 'live'),
            }
            for n in self.nodes.values()
            if n.state not in ('crashed', 'stopped')
        ]
        self.platform.set_list('instances', items, anyio.current_time())
