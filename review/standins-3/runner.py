"""Stand-in for a runner of a plain service, as PROTOCOL.md describes it.

It registers in the store every heartbeat, runs `slots` requests at once,
queues some more, rejects the rest with X-Not-Executed, and drops a request
whose channel closes while it waits. Each request that it begins to run is a
line of its log: {"at", "id", "tenant", "path", "server", "event"}.

Usage: runner.py JSON, with id, service, zone, host, port, store, log, slots,
work_ms, and optionally queue, heartbeat_s, version, crash_target. A request
for crash_target (path and query) ends the process as it begins to run.
"""

import asyncio
import json
import os
import random
import sys
import time

import http_client
import http_server


class Runner:
    def __init__(self, spec):
        self.spec = spec
        self.slots = asyncio.Semaphore(spec['slots'])
        self.open = 0
        self.log = open(spec['log'], 'a', buffering=1, encoding='utf-8')
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0

    def note(self, event, request):
        line = {
            'at': time.monotonic(),
            'event': event,
            'server': self.spec['id'],
            'id': request.headers.get('x-attempt-id'),
            'tenant': request.headers.get('x-tenant-name'),
            'path': request.target,
        }
        self.log.write(json.dumps(line) + '\n')

    def entry(self):
        self.sequence += 1
        return {
            'service': self.spec['service'],
            'address': f'{self.spec["host"]}:{self.spec["port"]}',
            'zone': self.spec['zone'],
            'version': self.spec.get('version', 'v1'),
            'slots': self.spec['slots'],
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def register(self):
        host, port = self.spec['store']
        name = self.spec['id']
        while True:
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
            await asyncio.sleep(self.spec.get('heartbeat_s', 1.2))

    async def handle(self, request, conn):
        attempt = request.headers.get('x-attempt-id')
        own = [('X-Attempt-Id', attempt)]
        if request.target == '/health':
            headers = [('X-Instance-Id', self.spec['id'])]
            await conn.send(http_server.encode(200, headers, b''))
            return True
        expected = request.headers.get('x-expected-instance')
        if expected not in (None, self.spec['id']):
            await conn.send(http_server.encode(421, own, b''))
            return True
        self.note('arrives', request)
        refused = [*own, ('X-Not-Executed', '1')]
        if attempt is None:
            headers = [('X-Not-Executed', '1')]
            await conn.send(http_server.encode(400, headers, b''))
            return True
        room = self.spec['slots'] + self.spec.get('queue', 24)
        if self.open >= room:
            await conn.send(http_server.encode(503, refused, b''))
            return True
        self.open += 1
        try:
            async with self.slots:
                if conn.is_closed:
                    return False
                self.note('runs', request)
                if request.target == self.spec.get('crash_target'):
                    self.note('crash', request)
                    os._exit(1)
                work_s = self.spec['work_ms'] / 1000
                await asyncio.sleep(work_s * random.uniform(0.5, 1.5))
            headers = [*own, ('X-Response-Signature', f'sig.{attempt}')]
            body = f'{self.spec["id"]} {attempt}'.encode()
            await conn.send(http_server.encode(200, headers, body))
            self.note('answered', request)
        finally:
            self.open -= 1
        return True


async def main():
    runner = Runner(json.loads(sys.argv[1]))
    spec = runner.spec
    await http_server.start(spec['host'], spec['port'], runner.handle)
    await runner.register()


asyncio.run(main())
