"""Stand-in for a model runner, as PROTOCOL.md describes it.

It registers in the store, answers reports, carries out orders one at a time,
and streams events on requests for the models that it holds. It starts with
the models of `models`; a restart starts empty, with its copies on disk. A
request with the prompt part `crash_part` (not as its last part) ends the
process as it begins to answer. Lines of its log: {"at", "event", "server",
"version", "id", ...}; the event is `arrives`, `runs`, `ended`, `order` or
`crash`.

Usage: engine.py JSON, with id, service, zone, host, port, store, log, slots,
models, on_disk, event_ms, and optionally version, weights_mb, sizes,
load_s, disk_load_s, crash_part, heartbeat_s, first_ms, unframed. With
unframed its answers have neither a length nor chunks.
"""

import asyncio
import json
import os
import sys
import time

import http_client
import http_server

QUEUE = 50
TOKENS_PER_EVENT = 6


class Engine:
    def __init__(self, spec):
        self.spec = spec
        self.models = list(spec['models'])
        self.on_disk = list(spec['on_disk'])
        self.slots = asyncio.Semaphore(spec['slots'])
        self.open = self.running = 0
        self.busy = False
        self.orders = 0
        self.fence = 0
        self.born = time.time_ns() // 1_000_000
        self.beats = 0
        self.log = open(spec['log'], 'a', buffering=1, encoding='utf-8')

    def note(self, event, **more):
        line = {
            'at': time.monotonic(),
            'event': event,
            'server': self.spec['id'],
            'version': self.spec.get('version', 'v1'),
        }
        self.log.write(json.dumps(line | more) + '\n')

    def state(self):
        return {
            'stage': 'combined',
            'models': [
                {'name': name, 'version': 1, 'adapters': []}
                for name in self.models
            ],
            'available': {'in_memory': [], 'on_disk': self.on_disk},
            'born': self.born,
        }

    def entry(self):
        self.beats += 1
        return self.state() | {
            'service': self.spec['service'],
            'address': f'{self.spec["host"]}:{self.spec["port"]}',
            'zone': self.spec['zone'],
            'version': self.spec.get('version', 'v1'),
            'slots': self.spec['slots'],
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self.beats,
        }

    def report(self):
        return self.state() | {
            'busy': self.busy,
            'sequence': self.orders,
            'queued': self.open - self.running,
            'running': self.running,
            'kv_in_use': 0,
            'kv_capacity': 114164,
            'handles': 0,
        }

    async def write_entry(self):
        host, port = self.spec['store']
        name = self.spec['id']
        body = json.dumps(
            {'metadata': {'name': name}, 'specification': self.entry()}
        ).encode()
        try:
            status = await http_client.call(
                host, port, 'PUT', f'/api/objects/servers/{name}', body
            )
            if status == 404:
                await http_client.call(
                    host, port, 'POST', '/api/objects/servers', body
                )
        except OSError:
            pass

    async def register(self):
        while True:
            await self.write_entry()
            await asyncio.sleep(self.spec.get('heartbeat_s', 1.2))

    async def handle(self, request, conn):
        if request.target == '/health':
            headers = [('X-Instance-Id', self.spec['id'])]
            await conn.send(http_server.encode(200, headers, b''))
            return True
        if request.target == '/api/report':
            body = json.dumps(self.report()).encode()
            headers = [('Content-Type', 'application/json')]
            await conn.send(http_server.encode(200, headers, body))
            return True
        expected = request.headers.get('x-expected-instance')
        if request.target == '/api/order':
            status = 421
            if expected in (None, self.spec['id']):
                status = self.take_order(json.loads(request.body))
            await conn.send(http_server.encode(status, [], b''))
            return True
        return await self.serve(request, conn, expected)

    def take_order(self, order):
        if not order.get('holder') or 'fencing_token' not in order:
            return 400
        if order['fencing_token'] < self.fence:
            return 412
        self.fence = order['fencing_token']
        if self.busy or order.get('precondition') not in (None, self.orders):
            return 409
        name, loads = order['model'], order['operation'] == 'load'
        self.note('order', **order)
        if loads == (name in self.models):
            return 200
        self.orders += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self.carry_out(name, loads))
        return 202

    async def carry_out(self, name, loads):
        if loads:
            on_disk = name in self.on_disk
            key = 'disk_load_s' if on_disk else 'load_s'
            await asyncio.sleep(self.spec.get(key, 5.8))
            sizes = self.spec.get('sizes', {})
            held = sum(sizes.get(n, 72700) for n in (*self.models, name))
            if held > self.spec.get('weights_mb', 200000):
                self.note('crash', why='ordered to load too much')
                os._exit(1)
            self.models.append(name)
            if not on_disk:
                self.on_disk.append(name)
        else:
            self.models.remove(name)
        self.busy = False
        await self.write_entry()

    async def serve(self, request, conn, expected):
        attempt = request.headers.get('x-attempt-id')
        own = [('X-Attempt-Id', attempt)]
        if expected not in (None, self.spec['id']):
            await conn.send(http_server.encode(421, own, b''))
            return True
        refused = [*own, ('X-Not-Executed', '1')]
        model = request.headers.get('x-model', '').partition('/')[0]
        if model not in self.models:
            await conn.send(http_server.encode(421, own, b''))
            return True
        prefix = request.headers.get('x-prompt-prefix', '')
        parts = [p.partition(':')[0] for p in prefix.split(',')]
        crashes = self.spec.get('crash_part') in parts[:-1]
        about = {'id': attempt, 'model': model, 'crashes': crashes}
        about['after'] = request.headers.get('last-event-id')
        self.note('arrives', **about)
        if self.open >= self.spec['slots'] + QUEUE:
            await conn.send(http_server.encode(503, refused, b''))
            return True
        self.open += 1
        try:
            async with self.slots:
                if conn.is_closed:
                    return False
                self.running += 1
                try:
                    return await self.stream(request, conn, about, crashes)
                finally:
                    self.running -= 1
        finally:
            self.open -= 1

    async def stream(self, request, conn, about, crashes):
        attempt = about['id']
        self.note('runs', **about)
        await asyncio.sleep(self.spec.get('first_ms', 40) / 1000)
        lines = [
            'HTTP/1.1 200 OK',
            f'X-Attempt-Id: {attempt}',
            f'X-Response-Signature: sig.{attempt}',
            'X-Weight-Versions: 1',
            'Content-Type: text/event-stream',
        ]
        unframed = self.spec.get('unframed', False)
        lines.append(
            'Connection: close' if unframed else 'Transfer-Encoding: chunked'
        )
        await conn.send(('\r\n'.join(lines) + '\r\n\r\n').encode())
        if crashes:
            self.note('crash', id=attempt, why='part')
            os._exit(1)
        counts = request.headers.get('x-token-counts', '0,6')
        last = int(counts.split(',')[1]) // TOKENS_PER_EVENT
        first = int(request.headers.get('last-event-id') or 0) + 1
        version = self.spec.get('version', 'v1')
        for number in range(first, last + 1):
            if conn.is_closed:
                return False
            event = f'id: {number}\ndata: {version} {number}\n\n'.encode()
            chunk = b'%x\r\n%s\r\n' % (len(event), event)
            await conn.send(event if unframed else chunk)
            await asyncio.sleep(self.spec['event_ms'] / 1000)
        if not unframed:
            await conn.send(b'0\r\n\r\n')
        self.note('ended', **about)
        return not unframed


async def main():
    engine = Engine(json.loads(sys.argv[1]))
    spec = engine.spec
    await http_server.start(spec['host'], spec['port'], engine.handle)
    await engine.register()


asyncio.run(main())
