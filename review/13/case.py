"""Case 13: a look-up that crashes runners is never kept from them."""

import asyncio
import json
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-3'))

import fleet as fleets  # noqa: E402
import http_client  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
KEY = 'k-counter'
BAD = '/lookup/claims?id=17'
BACK_AFTER_S = 3.0
CONTACT_S = fleets.BOUNDS['contact_timeout_ms'] / 1000
# Look-ups of other claims and orders, each at this rate, and the look-up that
# crashes runners again and again.
PER_S = 10.0
BAD_INTERVAL_S = 2.0
FIRST_BAD_AT_S = 3.0
END_AT_S = 30.0


def config():
    def route(name, kind, **more):
        return {
            'name': name,
            'host': fleets.HOST_NAME,
            'path_prefix': f'/{name}/',
            'kind': kind,
            'timeout_ms': 4000,
            'target_latency_ms': 400,
            'priority': 2,
            'service': 'tile-ledger',
            'attempts': 1,
        } | more

    def service(name):
        return {
            'name': name,
            'health_check_path': '/health',
            'connection_limit': 192,
        }

    return {
        'version': 1,
        'routes': [
            route('issue', 'non_idempotent'),
            route('lookup', 'idempotent', attempts=2),
            route('forms', 'idempotent', attempts=2, service='assistant-pool'),
        ],
        'services': [service('tile-ledger'), service('assistant-pool')],
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


class Clients:
    def __init__(self, fleet, began):
        self.fleet = fleet
        self.began = began
        self.sent = {}
        self.tasks = set()

    def start(self, method, target, body=b''):
        task = asyncio.create_task(self._send(method, target, body))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(self, method, target, body):
        attempt = f'{random.getrandbits(64):016x}'
        name, (host, port) = random.choice(list(self.fleet.fronts.items()))
        row = {'id': attempt, 'target': target, 'instance': name}
        row['at'] = round(time.monotonic() - self.began, 3)
        self.sent[attempt] = row
        headers = [
            ('Host', fleets.HOST_NAME),
            ('X-Attempt-Id', attempt),
            ('X-Request-Deadline', '4001'),
            ('Authorization', f'Bearer {KEY}'),
        ]
        answer = await http_client.exchange(
            host, port, method, target, headers, body
        )
        row['status'] = answer.status

    async def run(self):
        next_at = self.began
        bad_at = self.began + FIRST_BAD_AT_S
        while time.monotonic() < self.began + END_AT_S:
            if time.monotonic() >= bad_at:
                bad_at += BAD_INTERVAL_S
                self.start('GET', BAD)
            self.start('GET', f'/lookup/claims?id={random.randint(100, 999)}')
            order = b'{"order":%d}' % random.getrandbits(48)
            self.start('POST', '/issue/tiles', order)
            next_at += 1.0 / PER_S
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        while self.tasks:
            await asyncio.wait(list(self.tasks), timeout=6.0)


async def restart_crashed(fleet, specs):
    """Start a runner again some seconds after it crashed."""

    async def restart(spec):
        await asyncio.sleep(BACK_AFTER_S)
        fleet.restart_runner(spec)
        down.discard(spec['id'])

    down, tasks = set(), []
    while True:
        for spec in specs:
            if spec['id'] not in down and fleet.has_ended(spec['id']):
                down.add(spec['id'])
                tasks.append(asyncio.create_task(restart(spec)))
        await asyncio.sleep(0.05)


async def play(fleet):
    fleet.start_store()
    await fleet.wait_for_store()
    await fleet.write('config', 'main', config())
    specs = [
        fleet.start_runner(
            f'i-ledger{number}',
            'tile-ledger',
            work_ms=90,
            crash_target=BAD if TROUBLE else None,
        )
        for number in (1, 2, 3, 4)
    ]
    for number in range(1, 10):
        fleet.start_runner(f'i-runner{number}', 'assistant-pool')
    for number in (1, 2, 3, 4):
        fleet.start_instance(f'front-gulberg-{number}')
    await fleet.wait_ready()
    await asyncio.sleep(2.0)
    began = time.monotonic()
    restarter = asyncio.create_task(restart_crashed(fleet, specs))
    clients = Clients(fleet, began)
    await clients.run()
    restarter.cancel()
    return began, clients.sent


def judge(fleet, began, sent):
    runs = fleet.runs()
    crashes = sorted(r['at'] - began for r in runs if r['event'] == 'crash')
    arrivals = sorted(
        (round(r['at'] - began, 3), r['id'], r['server'])
        for r in runs
        if r['event'] == 'arrives' and r['path'] == BAD
    )
    late = []
    if len(crashes) >= 3:
        late = [a for a in arrivals if a[0] > crashes[2] + CONTACT_S]
    ran = {r['id'] for r in runs if r['event'] == 'runs'}
    done = {r['id'] for r in runs if r['event'] == 'answered'}
    orders = [r for r in sent.values() if r['target'] == '/issue/tiles']
    lost = [r for r in orders if r['id'] in ran and r['id'] not in done]
    with open(HERE / 'record.txt', 'w', encoding='utf-8') as record:
        record.write(
            f'trouble: {TROUBLE}\n'
            f'crashes at {[round(at, 2) for at in crashes]}\n'
            f'arrivals of the look-up later than {CONTACT_S} s after the '
            f'third crash: {len(late)}\n'
            f'orders: {len(orders)}, begun and lost in a crash: {len(lost)}\n'
        )
        for at, attempt, server in arrivals:
            row = {'at': at, 'id': attempt, 'server': server}
            record.write('arrival ' + json.dumps(row) + '\n')
        for row in sent.values():
            record.write(json.dumps(row) + '\n')
        fleet.write_runs(record, began)
    print(
        f'{len(crashes)} crashes, {len(late)} late arrivals, {len(lost)} '
        f'orders lost'
    )
    if TROUBLE and len(crashes) < 3:
        return 2
    return 1 if len(late) > 3 else 0


def main():
    fleet = fleets.Fleet()
    try:
        began, sent = asyncio.run(play(fleet))
    except (OSError, TimeoutError) as exc:
        print(f'could not run: {exc!r}')
        return 2
    finally:
        fleet.stop_all()
    if not any(row.get('status') == 200 for row in sent.values()):
        print('could not run: nothing was served')
        return 2
    return judge(fleet, began, sent)


sys.exit(main())
