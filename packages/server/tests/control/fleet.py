"""Control planes connected over loopback, with a stand-in platform."""

import contextlib
import json
import random
import types

import anyio
import trio
from wagtailtide_core.invariants import checks
from wagtailtide_server.control import plane as planes
from wagtailtide_server.peers import listener
from wagtailtide_server.storage import client
from wagtailtide_testing import serving
from wagtailtide_testing.standins import platform

# Shorter than the default of 300 s, so that tests take less time.
PARTIAL_TRUST_S = 30.0
ZONES = ('gulberg', 'anarkali', 'johar-town')


class SilenceableStream(trio.abc.Stream):
    """A connection that can stop carrying data, without an error."""

    def __init__(self, stream):
        self.stream = stream
        self.silent = False

    @property
    def socket(self):
        return self.stream.socket

    async def send_all(self, data):
        if not self.silent:
            await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        data = await self.stream.receive_some(max_bytes)
        if self.silent:
            await trio.sleep_forever()
        return data

    async def send_eof(self):
        await self.stream.send_eof()

    async def aclose(self):
        await self.stream.aclose()


class Instance:
    """One control plane, which can be started and stopped.

    Attributes:
        offline: Whether its reads of the platform fail.
        fail_watches: Whether its watches of the store fail.
    """

    def __init__(self, fleet, name, zone, seeds=()):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.seeds = list(seeds)
        self.offline = False
        self.fail_watches = False
        self.port = 0
        self.streams = []
        self.plane = None

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def start(self):
        settings = types.SimpleNamespace(
            name=self.name,
            region='lahore',
            zone=self.zone,
            peers=self.address,
            platform=self.fleet.served.url,
            seed_peers=self.seeds,
        )
        seed = sum(map(ord, self.name))
        self.store = _OfflineStore(
            self, self.fleet.served.url, rng=random.Random(seed)
        )
        self.invariants = checks.Invariants()
        self.plane = planes.ControlPlane(
            settings,
            self.store,
            self.invariants,
            rng=random.Random(seed),
            open_stream=self._open,
        )
        self.scope = anyio.CancelScope()
        await self.fleet.tasks.start(self._run)
        self.port = int(
            self.plane.view.local_member.address.rpartition(':')[2]
        )

    async def _run(self, *, task_status):
        with self.scope:
            await self.plane.run(task_status)

    async def stop(self):
        self.scope.cancel()
        await anyio.sleep(0.1)

    async def _open(self, address):
        if self.fleet.is_cut(self.address, address):
            raise OSError('network is unreachable')
        stream = SilenceableStream(await listener.open_tcp(address))
        self.streams.append((address, stream))
        return stream

    def versions(self):
        return self.plane.config.versions

    def trust(self):
        return self.plane.key_trust(anyio.current_time())


class _OfflineStore(client.StoreClient):
    def __init__(self, inst, url, **options):
        super().__init__(url, **options)
        self._inst = inst

    async def _read(self, *args, **options):
        if self._inst.offline:
            raise client.Unavailable('cut off')
        if self._inst.fail_watches and args[0] == '/v1/watch':
            raise client.Unavailable('no answer')
        return await super()._read(*args, **options)


class Fleet:
    """Instances and the network between them."""

    def __init__(self, tasks, state, served):
        self.tasks, self.platform, self.served = tasks, state, served
        self.instances = []
        self._cut = set()
        self.rng = random.Random(1)

    async def add(self, name, zone=None, seeds=()):
        zone = zone or ZONES[len(self.instances) % len(ZONES)]
        inst = Instance(self, name, zone, seeds)
        self.instances.append(inst)
        await inst.start()
        self.list_instances()
        return inst

    def list_instances(self):
        items = [
            {'name': i.name, 'address': i.address, 'zone': i.zone}
            for i in self.instances
        ]
        self.platform.set_list('instances', items, anyio.current_time())

    def is_cut(self, one, other):
        return one in self._cut or other in self._cut

    async def take_offline(self, *instances):
        """Cut instances off from the platform; wait until open watches end."""
        for inst in instances:
            inst.offline = True
        await anyio.sleep(2)

    def isolate(self, inst):
        """Cut one instance off from its peers, without connection errors."""
        self._cut.add(inst.address)
        for other in self.instances:
            for address, stream in other.streams:
                if self.is_cut(other.address, address):
                    stream.silent = True

    def heal(self):
        """End all cuts; connections that were cut carry no data any more."""
        self._cut.clear()
        for inst in self.instances:
            inst.offline = False

    def document_text(self, label, service='tiles', withdrawn=False):
        key = {'id': 'k1', 'salt': '00' * 8, 'hash': '00' * 32}
        org = {
            'name': f'org-{label}',
            'rate_tokens_per_s': 1.0,
            'burst_tokens': 1,
            'keys': [{**key, 'withdrawn': withdrawn}],
        }
        document = {
            'service': service,
            'organisations': [org],
            'limits': {'partial_key_trust_s': PARTIAL_TRUST_S},
        }
        return json.dumps(document)

    def delete(self, service):
        key = f'documents/{service}'
        held = self.platform.objects.get(key, 0)
        self.platform.objects.write(key, None, held.version)
        self.platform.wake_watches()

    def write(self, version_text, service='tiles', withdrawn=False):
        """Write a valid document to the store; return its version."""
        text = self.document_text(version_text, service, withdrawn)
        return self.write_raw(service, text.encode())

    def write_raw(self, service, value):
        key = f'documents/{service}'
        held = self.platform.objects.get(key, 0)
        gone = held is None or held.deleted
        version = self.platform.objects.write(
            key, value, None if gone else held.version
        )
        self.platform.wake_watches()
        return version

    async def until(self, condition, within_s):
        """Wait until a condition holds; return the seconds it took."""
        started = anyio.current_time()
        while not condition():
            if anyio.current_time() - started > within_s:
                raise AssertionError(f'condition not met within {within_s} s')
            await anyio.sleep(0.05)
        return anyio.current_time() - started

    async def wait_for_version(self, version, within_s=11, service='tiles'):
        return await self.until(
            lambda: all(
                i.versions().get(service, 0) == version for i in self.instances
            ),
            within_s,
        )


@contextlib.asynccontextmanager
async def running(size=3):
    """Run a fleet with one document in force everywhere."""
    state = platform.Platform()
    app = platform.make_app(state)
    async with (
        serving.serve_restartable(app) as served,
        anyio.create_task_group() as tasks,
    ):
        fleet = Fleet(tasks, state, served)
        fleet.write('first')
        for i in range(size):
            await fleet.add(f'inst-{i}')
        await fleet.until(
            lambda: all(
                i.plane.caught_up and len(i.plane.view.live()) == size
                for i in fleet.instances
            ),
            30,
        )
        yield fleet
        tasks.cancel_scope.cancel()
