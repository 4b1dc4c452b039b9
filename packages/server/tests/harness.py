"""An instance with stand-ins for the platform and the backend servers."""

import contextlib
import functools
import json
import random

import anyio
import httpx
from wagtailtide_core.keys import keys
from wagtailtide_server import instance
from wagtailtide_server import settings
from wagtailtide_server.storage import client
from wagtailtide_testing import serving
from wagtailtide_testing.standins import engine
from wagtailtide_testing.standins import ledger
from wagtailtide_testing.standins import platform

MODEL_KEY = 'letters@1'
MODEL_BYTES = 10_000_000_000


class Deployment:
    """An instance and stand-ins, with a document that declares them."""

    def __init__(self, engines=2, **engine_settings):
        rng = random.Random(7)
        self.key, entry = keys.make_key('clerk', rng)
        self.other_key, other = keys.make_key('dealer', rng)
        self.platform = platform.Platform()
        self.ledger = ledger.Ledger(rng=rng)
        self.engines = [
            engine.Engine(
                engine.EngineSettings(
                    **{
                        'models': f'{MODEL_KEY}={MODEL_BYTES}',
                        'fetches_adapters': True,
                        **engine_settings,
                    }
                ),
                rng=random.Random(index),
            )
            for index in range(engines)
        ]
        self.keys = {
            'tiles': [_key_value(entry)],
            'fans': [_key_value(other)],
        }
        self.addresses = {}
        self.stop = {}
        self.adapters = ['urdu']
        self.weight_store = {}
        self.min_replicas = 1
        # No model is placed on an engine without accelerators.
        self.accelerators = 0
        self.inst = None
        self.stopped = anyio.Event()
        self.version = None

    def document(self, **changes):
        servers = [
            {
                'name': name,
                'kind': 'plain' if name == 'ledger' else 'engine',
                'group': 'ledger' if name == 'ledger' else 'engines',
                'address': address,
                'zone': 'gulberg',
                'stop': self.stop,
                'memory_bytes': 0 if name == 'ledger' else 80_000_000_000,
                'accelerators': 0 if name == 'ledger' else self.accelerators,
            }
            for name, address in self.addresses.items()
        ]
        return {
            'service': 'tiles',
            'models': [
                {
                    'name': 'letters',
                    'version': '1',
                    'weights_bytes': MODEL_BYTES - 1,
                    'kv_reserve_bytes': 1,
                    'min_replicas': self.min_replicas,
                    'organisations': ['tiles'],
                },
                {
                    'name': 'absent',
                    'version': '1',
                    'weights_bytes': 75_000_000_000,
                    'kv_reserve_bytes': 1,
                    'min_replicas': 0,
                },
            ],
            'adapters': [
                {'name': name, 'model': 'letters', 'bytes': 100_000_000}
                for name in self.adapters
            ],
            'organisations': [
                {
                    'name': name,
                    'rate_tokens_per_s': 10_000,
                    'burst_tokens': 100_000,
                    'keys': entries,
                }
                for name, entries in self.keys.items()
            ],
            'routes': [
                _route('/claims', ['GET'], idempotent=True),
                _route('/issue', ['POST'], organisations=['tiles']),
                _route('/public', ['GET'], open=True, idempotent=True),
            ],
            'backend_servers': servers,
            'weight_store': self.weight_store,
            **changes,
        }

    def publish(self, **changes):
        value = json.dumps(self.document(**changes)).encode()
        self.version = self.platform.objects.write(
            'documents/tiles', value, self.version
        )
        self.platform.wake_watches()

    @contextlib.asynccontextmanager
    async def running(self, **limits):
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            apps = {
                f'engine-{i}': engine.make_app(e)
                for i, e in enumerate(self.engines)
            }
            apps['ledger'] = ledger.make_app(self.ledger)
            for name, app in apps.items():
                url = await enter(serving.serve(app))
                self.addresses[name] = url.removeprefix('http://')
            url = await enter(serving.serve(platform.make_app(self.platform)))
            self.publish()
            group = await enter(anyio.create_task_group())
            self.inst = await self._start(group, url, 'a-1', limits)
            caller = await enter(caller_of(self.inst))
            await self.wait_until(lambda: self._is_ready(self.inst))
            self._start_another = functools.partial(self._start, group, url)
            yield caller
            group.cancel_scope.cancel()
        violated = dict(self.inst.invariants.violated)
        if violated:
            raise AssertionError(f'invariants were violated: {violated}')

    async def _start(self, group, url, name, limits=None, seeds=()):
        store = client.StoreClient(url, rng=random.Random(1))
        cfg = settings.parse(
            {
                'name': name,
                'region': 'punjab',
                'zone': 'gulberg',
                'callers': '127.0.0.1:0',
                'admin': '127.0.0.1:0',
                'peers': '127.0.0.1:0',
                'platform': url,
                'seed_peers': list(seeds),
                'limits': limits or {},
            }
        )
        inst = instance.Instance(cfg, store, rng=random.Random(3))
        await group.start(self._run, inst)
        return inst

    @contextlib.asynccontextmanager
    async def another(self, name):
        """Start another instance with the first one as its seed peer."""
        inst = await self.start_another(name)
        await self.wait_until(lambda: self._is_ready(inst))
        async with caller_of(inst) as caller:
            yield caller

    async def start_another(self, name):
        """Start another instance without waiting until it is ready."""
        seeds = [self.inst.plane.view.local_member.address]
        return await self._start_another(name, seeds=seeds)

    async def _run(self, inst, task_status):
        # The tasks must end before the store client is closed.
        async with inst.store, anyio.create_task_group() as group:
            if inst.settings.name == 'a-1':
                await group.start(inst.handle_signals)
            await inst.run(task_status=task_status)
            group.cancel_scope.cancel()
        self.stopped.set()

    async def ask_admin(self, path):
        async with httpx.AsyncClient(trust_env=False) as admin:
            return await admin.get(f'http://{self.inst.admin_address}{path}')

    def _is_ready(self, inst):
        servers = inst.dispatcher.table.servers
        limiter = inst.rate_admission.limiter
        return (
            inst.not_ready_reason() is None
            # Token buckets are empty when the instance first holds slots.
            and limiter.held
            and limiter.level('tiles', anyio.current_time()) > 1_000
            and servers
            and all(
                state.boot_id
                for name, state in servers.items()
                if name != 'ledger'
            )
        )

    async def wait_until(self, condition):
        with anyio.fail_after(30):
            while True:
                if condition():
                    return
                await anyio.sleep(0.5)

    def auth(self, key=None):
        return {'Authorization': f'Bearer {key or self.key}'}

    def seen_by_backend_servers(self):
        recorders = [e.recorder for e in self.engines]
        recorders.append(self.ledger.recorder)
        return [req for r in recorders for req in r.requests]


def caller_of(inst):
    return httpx.AsyncClient(
        base_url=f'http://{inst.callers_address}',
        timeout=60,
        trust_env=False,
    )


def _key_value(entry):
    return {'id': entry.id, 'salt': entry.salt, 'hash': entry.hash}


def _route(path, methods, **fields):
    return {'path': path, 'methods': methods, 'backend': 'ledger', **fields}


def completion(prompt='write a letter', **fields):
    return {
        'model': 'letters:urdu',
        'prompt': prompt,
        'max_tokens': 20,
        'stream': True,
        **fields,
    }


def events_of(text):
    """Return the data of each event, and the texts joined."""
    data = [
        line.removeprefix('data: ')
        for line in text.splitlines()
        if line.startswith('data: ')
    ]
    values = [json.loads(d) for d in data if d != '[DONE]']
    joined = ''.join(
        choice['text'] for v in values for choice in v.get('choices', ())
    )
    return data, joined
