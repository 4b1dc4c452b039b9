"""Stand-ins for the platform's store, runners, clients, and machines.

Standard library only. Everything listens on loopback addresses. Each machine
of the system is a separate process, started with the command of the deploy
file, and has a loopback address of its own.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]

FRONT_PORT, READY_PORT, CONTROL_PORT = 8221, 8224, 8229

# Bounds of the site lmtra-ops.
BOUNDS = {
    'contact_timeout_ms': 3000,
    'drain_ms': 2000,
    'grace_period_s': 8,
    'config_apply_ms': 2000,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'retry_budget_slack': 104,
    'quota_window_s': 8,
    'quota_overage': 0.1,
    'quota_slack': 17000,
    'recovery_s': 12,
    'require_fencing': 'true',
    'lease_duration_ms': 3000,
    'thaw_slack_ms': 300,
    'ceiling_window_s': 5,
    'ceiling_overage': 1.1,
}
CONTRACTS = (
    'base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,'
    'platform'
)


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of record.txt with the seconds since the start."""

    def __init__(self, path):
        self._started_at = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    @property
    def now(self):
        return time.monotonic() - self._started_at

    def __call__(self, text):
        self._file.write(f'{self.now:8.3f} {text}\n')

    def close(self):
        self._file.close()


# HTTP


class Message:
    """A request or response: first line, headers with lower names, body."""

    def __init__(self, line, headers, body=b''):
        self.line = line
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the Message of a head without its body, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rows = head.decode('latin-1')[:-4].split('\r\n')
    headers = {}
    for row in rows:
        name, _, value = row.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(line, headers)


async def read_request(reader):
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.headers.get('content-length', 0))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode(status, headers=(), body=b'', framed=True):
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers]
    if framed:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Server:
    """A listener that serves one request at a time on each channel."""

    def __init__(self, ip, port=0):
        self.ip = ip
        self.port = port
        self._listener = None
        self._writers = set()

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        self._listener = await asyncio.start_server(
            self._serve, self.ip, self.port
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        channel = {}
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer, channel):
                    break
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer, channel):
        raise NotImplementedError

    def stop(self):
        """End as a killed process does."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store of PROTOCOL.md."""

    def __init__(self, ip):
        super().__init__(ip)
        self._objects = collections.defaultdict(dict)
        # The objects as JSON, by kind and name.
        self._encoded = {}
        self._events = []
        self._changed = asyncio.Event()
        self.revision = 100
        self.era = 1

    def put(self, kind, name, value):
        self.revision += 1
        known = self._objects[kind].get(name)
        obj = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': known['metadata']['created'] if known else 1,
                'finalizers': [],
                'deleting': False,
            },
            'specification': value,
            'status': None,
        }
        self._objects[kind][name] = obj
        self._encoded[kind, name] = json.dumps(obj).encode()
        self._note(kind, obj, False)
        return obj

    def delete(self, kind, name):
        obj = self._objects[kind].pop(name, None)
        if obj is not None:
            del self._encoded[kind, name]
            self.revision += 1
            self._note(kind, obj, True)

    def get(self, kind, name):
        obj = self._objects[kind].get(name)
        return obj and obj['specification']

    def _note(self, kind, obj, deleted):
        event = {'object': obj, 'deleted': deleted}
        self._events.append((self.revision, kind, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def handle(self, request, reader, writer, channel):
        method, target, _ = request.line.split(' ')
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path.removeprefix('/api/objects/')
        kind, _, name = map(urllib.parse.unquote, path.partition('/'))
        await asyncio.sleep(0.004)
        if method == 'GET' and name:
            body = self._encoded.get((kind, name))
            status = 200 if body else 404
        elif method == 'GET' and 'watch' in query:
            status, value = 200, await self._watch(kind, query)
            body = json.dumps(value).encode()
        elif method == 'GET':
            status, body = 200, self._list(kind, query.get('after', ''))
        else:
            status, value = self._write(method, kind, request)
            body = None if value is None else json.dumps(value).encode()
        headers = [
            ('Content-Type', 'application/json'),
            ('Store-Era', self.era),
        ]
        writer.write(encode(status, headers, body or b''))
        await writer.drain()
        return True

    def _list(self, kind, after):
        """Return a page of about 500 items or 1 MB as JSON."""
        names = sorted(n for n in self._objects[kind] if n > after)
        items, size = [], 0
        for name in names[:500]:
            if size >= 1_000_000:
                break
            items.append(self._encoded[kind, name])
            size += len(items[-1])
        more = b'true' if len(names) > len(items) else b'false'
        return b'{"items":[%s],"has_more":%s,"at":%d}' % (
            b','.join(items),
            more,
            self.revision,
        )

    def _write(self, method, kind, request):
        value = json.loads(request.body)
        meta = value['metadata']
        known = self._objects[kind].get(meta['name'])
        if method == 'POST':
            if known is not None:
                return 409, known
        else:
            if known is None:
                return 404, None
            wanted = meta.get('revision')
            if wanted is not None and wanted != known['metadata']['revision']:
                return 409, known
        return 200, self.put(kind, meta['name'], value['specification'])

    async def _watch(self, kind, query):
        since = int(query['watch'])
        end = time.monotonic() + int(query['max_wait_ms']) / 1000
        while True:
            found = [e for r, k, e in self._events if k == kind and r > since]
            left = end - time.monotonic()
            if found or left <= 0:
                return {'events': found, 'at': self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Runner(Server):
    """A plain service of PROTOCOL.md, registered in the store."""

    service = 'ledger'
    slots = 6

    def __init__(self, ip, store, id_, work_s=0.02, record=None):
        super().__init__(ip)
        self.store = store
        self.id = id_
        self.work_s = work_s
        self.version = 'v1'
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.ran = []
        self.record = record or (lambda text: None)

    def entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'z1',
            'version': self.version,
            'slots': self.slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self.beats,
            'born': self.born,
        }

    def register(self):
        self.beats += 1
        self.store.put('servers', self.id, self.entry())

    async def heartbeat(self):
        while True:
            self.register()
            await asyncio.sleep(1.2)

    def headers(self, request):
        attempt = request.headers['x-attempt-id']
        return [
            ('X-Attempt-Id', attempt),
            ('X-Response-Signature', f'{self.id}.{attempt}'),
        ]

    async def handle(self, request, reader, writer, channel):
        if request.headers.get('x-expected-instance') not in (None, self.id):
            writer.write(encode(421))
        else:
            self.ran.append(request.headers['x-attempt-id'])
            await asyncio.sleep(self.work_s)
            writer.write(encode(200, self.headers(request), b'done'))
        await writer.drain()
        return True


# Machines of the system


class Machine:
    """One process of the system, with an address of its own."""

    def __init__(self, lab, number, more=()):
        self.lab = lab
        self.name = f'front-z1-{number}'
        self.ip = lab.ip(number)
        self.process = None
        self._more = dict(more)
        self._settings = lab.folder / f'{self.name}.conf'
        self._log = lab.folder / f'{self.name}.log'
        self.started = 0

    @property
    def log_text(self):
        return self._log.read_text(errors='replace')

    def start(self, is_first=False):
        self.started += 1
        fields = {
            'node_name': self.name,
            'role': 'wagtailtide',
            'machine_class': 'front',
            'serves': 'front',
            'ip': self.ip,
            'zone': 'z1',
            'region': 'lahore',
            'zones.z1': 'lahore',
            'listen_addresses.front': f'{self.ip}:{FRONT_PORT}',
            'listen_addresses.ready': f'{self.ip}:{READY_PORT}',
            'listen_addresses.control': f'{self.ip}:{CONTROL_PORT}',
            'internal_port_range': '7600,7615',
            'initial_bootstrap': str(is_first).lower(),
            'limits.cpu_share': 0.731,
            'limits.cores': 1,
            'limits.memory_mb': 222,
            'limits.file_descriptors': 1570,
            'limits.link_mbps': 350.0,
            'limits.disk_mb': 0,
            'discovery': 'platform',
            'entry': 'virtual_ip',
            'heartbeat_interval_ms': 1200,
            'contracts': CONTRACTS,
            'platform.address': self.lab.store.address,
            'platform.form': 'objects',
            'platform.writes_per_s': 400,
            'platform.reads_per_s': 2000,
            'platform.history_retention_s': 20,
            'platform.value_bytes': 1048576,
        }
        fields |= {f'bounds.{k}': v for k, v in BOUNDS.items()} | self._more
        text = ''.join(f'{k}={v}\n' for k, v in fields.items())
        self._settings.write_text(text)
        env = {
            k: os.environ[k]
            for k in ('PATH', 'HOME', 'LANG')
            if k in os.environ
        }
        env |= {
            'PYTHONPATH': 'target/deps',
            'WAGTAILTIDE_CONFIG': str(self._settings),
        }
        with open(self._log, 'ab') as log:
            # The command of deploy/system.toml.
            self.process = subprocess.Popen(
                ['python3', '-m', 'wagtailtide_platform'],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    @property
    def rss_mb(self):
        with open(f'/proc/{self.process.pid}/status') as file:
            for line in file:
                if line.startswith('VmRSS'):
                    return int(line.split()[1]) / 1000
        return 0.0

    async def is_ready(self):
        try:
            reply = await asyncio.wait_for(
                get(self.ip, READY_PORT, '/api/readiness'), 1.0
            )
        except (OSError, asyncio.TimeoutError):
            return False
        return reply is not None and reply.line.split(' ')[1] == '200'


async def get(ip, port, path):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
        message = await read_head(reader)
        if message is not None:
            length = int(message.headers.get('content-length', 0))
            message.body = await reader.readexactly(length)
        return message
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    finally:
        writer.close()


class Lab:
    """Store, runners and machines of one small deployment."""

    def __init__(self, machines, record, more=()):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._base = random.SystemRandom().randrange(1, 250 * 250)
        self.store = Store(self.ip(250))
        self.machines = [Machine(self, n + 1, more) for n in range(machines)]
        self.runners = []
        self.tasks = set()

    def ip(self, number):
        return f'127.{1 + self._base // 250}.{1 + self._base % 250}.{number}'

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def add_runner(self, runner):
        await runner.start()
        self.runners.append(runner)
        runner.beat = self.spawn(runner.heartbeat())
        return runner

    async def start_machines(self, is_first=False, timeout_s=30.0):
        for machine in self.machines:
            machine.start(is_first)
        await self.until_ready(timeout_s)

    async def until_ready(self, timeout_s=30.0):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            states = await asyncio.gather(
                *(machine.is_ready() for machine in self.machines)
            )
            if all(states):
                return
            await asyncio.sleep(0.2)
        raise CannotRun(f'machines not ready: {states}')

    def close(self):
        for machine in self.machines:
            machine.kill()
        for task in list(self.tasks):
            task.cancel()
        for server in (self.store, *self.runners):
            server.stop()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


# Clients

_ids = iter(range(1, 10**9))
_prefix = f'{random.SystemRandom().randrange(16**8):08x}'


def new_id():
    return f'{_prefix}{next(_ids):08x}'


class Reply:
    """What a client saw of one attempt."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b''
        self.is_whole = False

    @property
    def is_success(self):
        return (
            self.status is not None
            and 200 <= self.status < 300
            and self.is_whole
            and 'x-response-signature' in self.headers
        )


async def call(
    machine,
    path,
    *,
    key,
    attempt,
    deadline_ms=4000,
    headers=(),
    body=b'{}',
    on_data=None,
    method='POST',
):
    """Send one attempt on a new channel and return its Reply."""
    reply = Reply()
    try:
        await asyncio.wait_for(
            _call(
                reply,
                machine,
                path,
                key,
                attempt,
                deadline_ms,
                headers,
                body,
                on_data,
                method,
            ),
            deadline_ms / 1000,
        )
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    return reply


async def _call(
    reply,
    machine,
    path,
    key,
    attempt,
    deadline_ms,
    headers,
    body,
    on_data,
    method,
):
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(machine.ip, FRONT_PORT), 1.0
    )
    try:
        rows = [
            ('Host', 'desk.example'),
            ('X-Attempt-Id', attempt),
            ('X-Request-Deadline', deadline_ms),
            ('Content-Length', len(body)),
            *headers,
        ]
        if key is not None:
            rows.append(('Authorization', f'Bearer {key}'))
        head = ''.join(f'{n}: {v}\r\n' for n, v in rows)
        writer.write(f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode() + body)
        message = await read_head(reader)
        if message is None:
            return
        reply.status = int(message.line.split(' ')[1])
        reply.headers = message.headers
        if message.headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int((await reader.readuntil(b'\r\n'))[:-2], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    reply.is_whole = True
                    return
                reply.body += data[:-2]
                if on_data is not None:
                    on_data(reply)
        length = int(message.headers.get('content-length', 0))
        reply.body = await reader.readexactly(length)
        reply.is_whole = True
    finally:
        writer.close()


# Configuration


def route(name, prefix, kind, service, **more):
    fields = {
        'name': name,
        'host': 'desk.example',
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 12_000,
        'target_latency_ms': 400,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'anonymous_access': False,
        'session_affinity': False,
    }
    return fields | more


def plain_service(name):
    return {
        'name': name,
        'health_check_path': '/health',
        'connection_limit': 192,
        'protocol': 'h1',
        'tls': False,
    }


def config(version, routes, services, tenants):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': tenants,
    }


def tenant(name, key, rate_per_s=50_000, burst=50_000):
    return {
        'name': name,
        'api_keys': [key],
        'priority': 1,
        'unit': 'tokens',
        'uncached_tokens': 200,
        'rate_per_s': rate_per_s,
        'burst': burst,
    }


def main(case, folder):
    """Run a case and exit: 1 broken, 0 held, 2 could not run."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        if not (ROOT / 'target' / 'deps' / 'wagtailtide_platform').is_dir():
            raise CannotRun('target/deps is missing: run the build first')
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 110.0))
    except Exception as exc:
        record(f'could not run: {exc!r}')
        print(f'could not run: {exc!r}')
        status = 2
    else:
        verdict = 'BROKEN' if broken else 'held'
        record(verdict)
        print(verdict)
        status = 1 if broken else 0
    record.close()
    sys.exit(status)
