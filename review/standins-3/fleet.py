"""Starts the instances of a small deployment, and stand-ins around them.

Settings follow the page of lmtra-ops: the bounds are those of its sheet. Every
process has an address of its own in 127.0.0.0/8.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http_client

ROOT = pathlib.Path(__file__).resolve().parents[2]
STANDINS = pathlib.Path(__file__).resolve().parent
HOST_NAME = 'desk.example'

BOUNDS = {
    'contact_timeout_ms': 3000,
    'drain_ms': 2000,
    'grace_period_s': 8,
    'config_apply_ms': 2000,
    'enforce_revocation': 'true',
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'retry_budget_slack': 104,
    'quota_window_s': 8,
    'quota_overage': 0.1,
    'quota_slack': 17000,
    'require_fencing': 'true',
    'lease_duration_ms': 3000,
    'ceiling_window_s': 5,
    'ceiling_overage': 1.1,
}


def free_port(host):
    """Return a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Fleet:
    """All processes of one case.

    Attributes:
        fronts: Address for clients by name of the instance.
        dir: Temporary folder of the case.
    """

    def __init__(self):
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._base = f'127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}'
        self._last = 0
        self._processes = {}
        self._ready = {}
        self.fronts = {}
        self.store = None
        self.log = self.dir / 'runs.jsonl'

    def address(self):
        """Return an address that no other process has."""
        self._last += 1
        return f'{self._base}.{self._last}'

    def _start(self, name, words, env=None):
        out = open(self.dir / f'{name}.log', 'ab')
        self._processes[name] = subprocess.Popen(
            words,
            cwd=ROOT,
            env=env,
            stdout=out,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            start_new_session=True,
        )
        out.close()

    def start_store(self):
        """Start the stand-in for the store."""
        host = self.address()
        self.store = (host, free_port(host))
        words = [sys.executable, str(STANDINS / 'store.py')]
        self._start('store', [*words, host, str(self.store[1])])

    def start_runner(self, name, service, **more):
        """Start a stand-in for a runner; return its specification."""
        host = self.address()
        spec = {
            'id': name,
            'service': service,
            'zone': 'gulberg',
            'host': host,
            'port': free_port(host),
            'store': self.store,
            'log': str(self.log),
            'slots': 6,
            'work_ms': 60,
        } | more
        self.restart_runner(spec)
        return spec

    def restart_runner(self, spec):
        """Start a runner by its specification."""
        words = [sys.executable, str(STANDINS / 'runner.py')]
        self._start(spec['id'], [*words, json.dumps(spec)])

    def start_engine(self, name, service, **more):
        """Start a stand-in for a model runner; return its specification."""
        host = self.address()
        spec = {
            'id': name,
            'service': service,
            'zone': 'gulberg',
            'host': host,
            'port': free_port(host),
            'store': self.store,
            'log': str(self.log),
            'slots': 24,
            'event_ms': 100,
            'models': [],
            'on_disk': [],
            'load_s': 5.8,
            'disk_load_s': 1.2,
        } | more
        self.restart_engine(spec)
        return spec

    def restart_engine(self, spec):
        """Start a model runner by its specification."""
        words = [sys.executable, str(STANDINS / 'engine.py')]
        self._start(spec['id'], [*words, json.dumps(spec)])

    def has_ended(self, name):
        """Return whether a process of this case has ended."""
        return self._processes[name].poll() is not None

    def start_instance(self, name, **more):
        """Start an instance with the command of the deploy file."""
        ip = self.address()
        front, ready, peer, admin = (free_port(ip) for _ in range(4))
        fields = {
            'node_name': name,
            'role': 'wagtailtide',
            'machine_class': 'front',
            'serves': 'front',
            'ip': ip,
            'zone': 'gulberg',
            'region': 'lahore',
            'zones.gulberg': 'lahore',
            'listen_addresses.front': f'{ip}:{front}',
            'listen_addresses.ready': f'{ip}:{ready}',
            'internal_port_range': f'{peer},{peer}',
            'admin_port': admin,
            'limits.cpu_share': 0.731,
            'limits.cores': 1,
            'limits.memory_mb': 222,
            'limits.file_descriptors': 1570,
            'limits.link_mbps': 350.0,
            'heartbeat_interval_ms': 1200,
            'contracts': 'base,drain,config,cost,retry,recover,fleet,stream,'
            'engine,tenants,quota,platform',
            'platform.address': f'{self.store[0]}:{self.store[1]}',
            'platform.writes_per_s': 400,
            'platform.reads_per_s': 2000,
            'platform.value_bytes': 1048576,
        }
        fields |= {f'bounds.{key}': value for key, value in BOUNDS.items()}
        fields |= more
        path = self.dir / f'{name}.conf'
        path.write_text(
            ''.join(f'{key}={value}\n' for key, value in fields.items()),
            encoding='utf-8',
        )
        env = {
            'PATH': os.environ['PATH'],
            'WAGTAILTIDE_CONFIG': str(path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        self.fronts[name] = (ip, front)
        self._ready[name] = (ip, ready)
        self._start(name, ['python3', '-m', 'wagtailtide_platform'], env)

    async def write(self, kind, name, fields):
        """Write an object as the operator does."""
        host, port = self.store
        body = json.dumps(
            {'metadata': {'name': name}, 'specification': fields}
        ).encode()
        path = f'/api/objects/{kind}'
        status = await http_client.call(
            host, port, 'PUT', f'{path}/{name}', body
        )
        if status == 404:
            status = await http_client.call(host, port, 'POST', path, body)
        return status

    async def wait_for_store(self):
        """Wait until the store answers."""
        host, port = self.store
        await self._wait(
            lambda: http_client.exchange(
                host, port, 'GET', '/api/objects/config'
            ),
            'the store',
        )

    async def wait_ready(self):
        """Wait until all instances are ready."""
        for name, (host, port) in self._ready.items():
            await self._wait(
                lambda host=host, port=port: http_client.exchange(
                    host, port, 'GET', '/api/readiness'
                ),
                name,
            )

    async def _wait(self, ask, name):
        ends_at = time.monotonic() + 20
        while time.monotonic() < ends_at:
            if (await ask()).status == 200:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f'{name} was not ready in 20 s')

    def signal(self, name, number):
        """Send a signal to a process of this case."""
        self._processes[name].send_signal(number)

    def kill(self, name):
        """Kill a process."""
        self.signal(name, signal.SIGKILL)
        self._processes[name].wait()

    def stop_all(self):
        """End all processes of the case."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()

    def runs(self):
        """Return the lines that the runners wrote."""
        if not self.log.exists():
            return []
        lines = self.log.read_text(encoding='utf-8').splitlines()
        return [json.loads(line) for line in lines]

    def write_runs(self, record, began):
        """Write to a record what ran, was ordered and crashed."""
        for run in self.runs():
            if run['event'] in ('runs', 'order', 'crash'):
                run['at'] = round(run['at'] - began, 3)
                record.write('runner ' + json.dumps(run) + '\n')
