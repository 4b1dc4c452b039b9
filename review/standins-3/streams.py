"""Streams of a small deployment: its configuration and its clients."""

import asyncio
import random
import time

import fleet as fleets
import http_client

KEY = 'k-counter'
PATH = '/letters/x'
DEADLINE_S = 12.0
# Clients leave a stream after a pause of two seconds: eight times the longest
# pause of the sheet, 250 ms.
GAP_S = 2.0
RETRIES = 1


def config():
    model = {
        'weights_mb': 72700.0,
        'load_time_s': 5.8,
        'disk_load_s': 1.2,
        'memory_load_s': 0.63,
        'adapters': 0,
        'adapter_mb': 66.0,
    }
    return {
        'version': 1,
        'routes': [
            {
                'name': 'letters',
                'host': fleets.HOST_NAME,
                'path_prefix': '/letters/',
                'kind': 'stream',
                'timeout_ms': 12000,
                'target_latency_ms': 400,
                'target_gap_ms': 250,
                'priority': 1,
                'service': 'assistant-pool',
                'attempts': 2,
                'allow_resume': True,
                'session_affinity': True,
            }
        ],
        'services': [
            {
                'name': 'assistant-pool',
                'health_check_path': '/health',
                'connection_limit': 400,
                'engine': {
                    'slots': 24,
                    'kv_capacity_tokens': 114164,
                    'weights_mb': 200000.0,
                    'adapter_slots': 8,
                    'loads_per_s': 2.4,
                    'models': [
                        model | {'name': n} for n in ('m1', 'm2', 'm3')
                    ],
                },
            },
            {
                'name': 'tile-ledger',
                'health_check_path': '/health',
                'connection_limit': 192,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'counter',
                'api_keys': [KEY],
                'unit': 'tokens',
                'uncached_tokens': 200,
                'rate_per_s': 200000,
                'burst': 400000,
            }
        ],
    }


class Client:
    """One stream of a client, over its tries."""

    def __init__(self, fleet, began, model, events=30, parts=None):
        self.fleet = fleet
        self.began = began
        self.model = model
        # An event holds 6 tokens.
        self.tokens_out = 6 * events
        own = f'{random.getrandbits(32):x}:628'
        self.prefix = ','.join([*(parts or ['5c1e07a2:198']), own])
        self.sent_at = time.monotonic()
        self.ends_at = asyncio.get_running_loop().time() + DEADLINE_S
        self.body = b'{"letter":%d}' % random.getrandbits(48)
        self.events = []
        self.tries = []
        self.complete = False

    async def run(self):
        origin = None
        for _ in range(1 + RETRIES):
            stream, attempt = await self.try_once(origin)
            if stream.events and origin is None:
                origin = attempt
            self.events += stream.events
            if stream.complete:
                self.complete = True
                return
            left_s = self.ends_at - asyncio.get_running_loop().time()
            wait_s = float(stream.headers.get('retry-after', 0.05))
            wait_s = min(wait_s, left_s / 3)
            if left_s - wait_s < 0.5:
                return
            await asyncio.sleep(wait_s)

    async def try_once(self, origin):
        attempt = f'{random.getrandbits(64):016x}'
        name, (host, port) = random.choice(list(self.fleet.fronts.items()))
        loop = asyncio.get_running_loop()
        left_ms = (self.ends_at - loop.time()) * 1000
        headers = [
            ('Host', fleets.HOST_NAME),
            ('X-Attempt-Id', attempt),
            ('X-Request-Deadline', f'{left_ms:.0f}'),
            ('Authorization', f'Bearer {KEY}'),
            ('X-Model', self.model),
            ('X-Token-Counts', f'826,{self.tokens_out}'),
            ('X-Prompt-Prefix', self.prefix),
        ]
        if self.events:
            headers.append(('Last-Event-Id', str(self.events[-1][0])))
        if origin is not None:
            headers.append(('Resumes', origin))
        sent_at = time.monotonic()
        stream = await http_client.read_stream(
            host, port, PATH, headers, self.body, GAP_S, self.ends_at
        )
        self.tries.append(
            {
                'id': attempt,
                'at': round(sent_at - self.began, 3),
                'instance': name,
                'after': self.events[-1][0] if self.events else None,
                'resumes': origin,
                'status': stream.status,
                'retry_after': stream.headers.get('retry-after'),
                'events': [n for n, _ in stream.events][:1]
                + [n for n, _ in stream.events][-1:],
                'data': sorted({d.split(' ')[0] for _, d in stream.events}),
                'complete': stream.complete,
                'took_s': round(time.monotonic() - sent_at, 3),
            }
        )
        return stream, attempt
