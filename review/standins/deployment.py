"""Starts instances of the system as processes, before the stand-ins."""

import asyncio
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback

import store
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
KEY = 'k-counter-1'
READY_TIMEOUT_S = 25.0

# Bounds as `lmtra-ops` has them.
SETTINGS = """\
role=wagtailtide
machine_class=front
serves=front
zone=gulberg
region=lahore
zones.gulberg=lahore
limits.cpu_share=0.731
limits.cores=1
limits.memory_mb=222
limits.file_descriptors=1570
limits.link_mbps=350.0
limits.disk_mb=0
discovery=platform
entry=virtual_ip
heartbeat_interval_ms=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,\
quota,platform
fault_tolerance.machines=1
bounds.seed_lag_s=3
bounds.address_reuse_s=2
bounds.contact_timeout_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.enforce_revocation=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=104
bounds.quota_window_s=8
bounds.quota_overage=0.1
bounds.quota_slack=17000
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.require_fencing=true
bounds.lease_duration_ms=3000
bounds.thaw_slack_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_overage=1.1
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_retention_s=20
platform.value_bytes=1048576
platform.min_ttl_ms=1000
"""


def route(name, kind, service, **more):
    """Return a route of the config; its path prefix is its name."""
    fields = {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 4_000,
        'target_latency_ms': 400,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'anonymous_access': False,
        'session_affinity': False,
    }
    return fields | more


def tenant(name, keys, **more):
    """Return a tenant of the config."""
    fields = {
        'name': name,
        'api_keys': keys,
        'priority': 1,
        'unit': 'tokens',
        'uncached_tokens': 200,
        'rate_per_s': 50_000,
        'burst': 50_000,
    }
    return fields | more


def engine(models, **more):
    """Return the engine of a model service in the config."""
    fields = {
        'slots': 24,
        'kv_capacity_tokens': 114_164,
        'weights_mb': 200_000,
        'adapter_slots': 8,
        'loads_per_s': 2.4,
        'models': [
            {
                'name': name,
                'weights_mb': 60_000,
                'load_time_s': 1.0,
                'adapters': 200,
                'adapter_mb': 60,
            }
            for name in models
        ],
    }
    return fields | more


def config(version, routes, services, tenants):
    """Return a config as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3_000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': tenants,
    }


class Instance:
    """One process of the system."""

    def __init__(self, deployment, number, host):
        self._deployment = deployment
        self.name = f'front-gulberg-{number}'
        self.host = host
        self.port = wire.free_port(host)
        self._ready_port = wire.free_port(host)
        self._peer_port = wire.free_port(host)
        self._admin_port = wire.free_port(host)
        self.process = None

    def _settings(self):
        return SETTINGS + '\n'.join(
            (
                f'node_name={self.name}',
                f'ip={self.host}',
                f'listen_addresses.front={self.host}:{self.port}',
                f'listen_addresses.ready={self.host}:{self._ready_port}',
                f'internal_port_range={self._peer_port},{self._peer_port}',
                f'admin_port={self._admin_port}',
                f'platform.address={self._deployment.store.address}',
                '',
            )
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        folder = self._deployment.folder
        path = folder / f'{self.name}.conf'
        path.write_text(self._settings(), encoding='utf-8')
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env |= {
            'WAGTAILTIDE_CONFIG': str(path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with open(folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'wagtailtide_platform'],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self._deployment.record(f'{self.name} starts')

    def signal(self, number):
        """Send a signal to the process."""
        self._deployment.record(f'{self.name} gets {number.name}')
        self.process.send_signal(number)

    async def is_ready(self):
        """Return whether it says that it is ready."""
        answer = await wire.call(
            self.host,
            self._ready_port,
            'GET',
            '/api/readiness',
            [('Host', 'ready')],
            timeout_s=1.0,
        )
        return answer.status == 200

    async def wait_ready(self):
        """Wait until it says that it is ready."""
        until = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f'{self.name} does not get ready')
            await asyncio.sleep(0.1)

    async def wait_end(self):
        """Wait until the process has ended."""
        while self.process.poll() is None:
            await asyncio.sleep(0.05)

    async def send(self, target, **options):
        """Send a client's request; return its id, time and the Answer."""
        deployment = self._deployment
        attempt = options.get('attempt') or deployment.next_id()
        headers = [
            ('Host', HOST),
            ('X-Attempt-Id', attempt),
            ('X-Request-Deadline', str(options.get('deadline_ms', 4_000))),
        ]
        key = options.get('key', KEY)
        if key:
            headers.append(('Authorization', f'Bearer {key}'))
        headers += options.get('headers', [])
        sent_at = time.monotonic()
        deployment.record(f'request {attempt} to {self.name}: {target}')
        answer = await wire.call(
            self.host,
            self.port,
            options.get('method', 'POST'),
            target,
            headers,
            options.get('body', b'{}'),
            timeout_s=options.get('deadline_ms', 4_000) / 1000 + 1.0,
        )
        deployment.record(
            f'request {attempt} answered {answer.status or "nothing"}'
        )
        return attempt, sent_at, answer


class CannotRun(Exception):
    """The case could not run."""


class Deployment:
    """The store, the instances and the record of one run."""

    def __init__(self, instances):
        self._started_at = time.monotonic()
        self._lines = []
        self._count = 0
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        # Addresses of this process alone.
        base = 2**24 * 127 + 2**22 + os.getpid() % 2**14 * 256
        hosts = [
            '.'.join(str(b) for b in (base + n).to_bytes(4, 'big'))
            for n in range(1, instances + 2)
        ]
        self.store_host = hosts[0]
        self.store = store.Store(self.store_host, self.record)
        self.instances = [
            Instance(self, number, host)
            for number, host in enumerate(hosts[1:], 1)
        ]

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def next_id(self):
        """Return the id of a new client attempt."""
        self._count += 1
        return f'{os.getpid() % 2**16:04x}{self._count:012x}'

    def record(self, line):
        """Add a line to the record."""
        self._lines.append(f'{self.now():8.3f} {line}')

    async def start(self):
        """Start the store and all instances, and wait for them."""
        await self.store.start()
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            await instance.wait_ready()
        self.record('all instances are ready')

    def close(self, record_path, keep_logs_at=None):
        """End all processes and write the record."""
        for instance in self.instances:
            process = instance.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        pathlib.Path(record_path).write_text(
            '\n'.join(self._lines) + '\n', encoding='utf-8'
        )
        if keep_logs_at:
            shutil.copytree(self.folder, keep_logs_at, dirs_exist_ok=True)
        shutil.rmtree(self.folder)


def run(case, instances):
    """Run a case and exit with its result.

    Args:
        case: Coroutine function from the Deployment and whether to make the
            disruption; returns the broken rule as a text, or None.
        instances: Number of instances.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record_path = pathlib.Path(sys.argv[0]).resolve().parent / 'record.txt'
    deployment = Deployment(instances)
    status = 2
    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(_limit(case, deployment, trouble))
        deployment.record(f'broken: {broken}' if broken else 'the rule held')
        status = 1 if broken else 0
    except (CannotRun, TimeoutError) as exc:
        deployment.record(f'the case could not run: {exc!r}')
    except Exception:
        deployment.record(f'error: {traceback.format_exc()}')
    finally:
        deployment.close(record_path, os.environ.get('KEEP_LOGS'))
    last = record_path.read_text(encoding='utf-8').splitlines()[-1]
    sys.stdout.write(f'{last}\n')
    sys.stdout.flush()
    # The stand-ins are not waited for.
    os._exit(status)


async def _limit(case, deployment, trouble):
    async with asyncio.timeout(110):
        return await case(deployment, trouble)
