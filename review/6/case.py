"""One odd entry among those of the runners."""

import asyncio
import json
import pathlib
import random
import sys

STANDINS = pathlib.Path(__file__).resolve().parents[1] / 'standins-2'
sys.path.insert(0, str(STANDINS))

import lab  # noqa: E402

MACHINES = 12
RUNNERS = 4
KEY = 'k-counter-1'
PER_S = 30.0
# tile-issue: timeout_ms 2,000, deadline 4,000 ms, not idempotent.
TIMEOUT_S, DEADLINE_S, LATE_S = 2.0, 4.0, 0.5
CALM_S, TRAFFIC_S = 8.0, 40.0
VALUE_BYTES = 1_048_576

# JSON of 48 nested lists, as often as it fits into an object of the store.
NESTED = []
for _ in range(47):
    NESTED = [NESTED]
REPEATS = 10_600

# The fields of a runner's entry, but the stage is of another type and the
# service is not one of the config. No runner listens at the address.
ODD_ENTRY = {
    'service': 'another-service',
    'address': '127.0.0.1:9',
    'zone': 'z1',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'stage': [NESTED] * REPEATS,
    'models': [],
    'sequence': 4,
    'born': 1,
}


async def run(record, trouble):
    env = lab.Lab(MACHINES, record)
    rng = random.Random(1)
    answered_after, sent, lags = [], [], []

    async def one(machine):
        attempt, at = lab.new_id(), record.now
        reply = await lab.call(
            machine,
            '/issue/1',
            key=KEY,
            attempt=attempt,
            deadline_ms=round(DEADLINE_S * 1000),
        )
        took_s = record.now - at
        answered_after.append(took_s if reply.status else DEADLINE_S)
        sent.append((at, reply.is_success))
        record(
            f'{attempt} at {machine.name} -> {reply.status}, {took_s:.2f} s'
        )

    async def watch_lag():
        while True:
            before = record.now
            await asyncio.sleep(0.05)
            lags.append(record.now - before - 0.05)

    try:
        env.spawn(watch_lag())
        await env.store.start()
        issue = lab.route(
            'issue',
            '/issue/',
            'non_idempotent',
            'ledger',
            timeout_ms=round(TIMEOUT_S * 1000),
            attempts=1,
        )
        env.store.put(
            'config',
            'main',
            lab.config(
                7,
                [issue],
                [lab.plain_service('ledger')],
                [lab.tenant('counter', KEY)],
            ),
        )
        for number in range(RUNNERS):
            await env.add_runner(
                lab.Runner(env.ip(200), env.store, f'i-led{number + 1}')
            )
        await env.start_machines(is_first=True)
        await asyncio.sleep(3.0)
        started_at = record.now
        if trouble:
            size = len(json.dumps(ODD_ENTRY, separators=(',', ':')))
            assert size < VALUE_BYTES

            async def write():
                await asyncio.sleep(CALM_S)
                record(f'another writer writes i-odd once, {size} bytes')
                env.store.put('servers', 'i-odd', ODD_ENTRY)

            env.spawn(write())
        calls = []
        while record.now < started_at + TRAFFIC_S:
            machine = rng.choice(env.machines)
            calls.append(asyncio.create_task(one(machine)))
            await asyncio.sleep(rng.expovariate(PER_S))
        await asyncio.gather(*calls)
    finally:
        env.close()
    served = sum(ok for _, ok in sent)
    at_timeout = sum(s >= TIMEOUT_S for s in answered_after)
    later = sum(s >= TIMEOUT_S + LATE_S for s in answered_after)
    summary = (
        f'{served} of {len(sent)} requests served; {at_timeout} unanswered at '
        f'timeout_ms, {later} of them {LATE_S} s later; the stand-ins lagged '
        f'by {max(lags):.2f} s at most'
    )
    record(summary)
    print(summary)
    if max(lags) > LATE_S / 2:
        raise lab.CannotRun(f'the stand-ins stood still for {max(lags):.2f} s')
    if served < len(sent) / 4 and not trouble:
        raise lab.CannotRun('too few requests were served')
    return later >= 8 and later > at_timeout / 2


if __name__ == '__main__':
    lab.main(run, pathlib.Path(__file__).parent)
