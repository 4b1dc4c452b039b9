"""Runners that say that they are brittle, under the load of a busy day."""

import asyncio
import collections
import time

import deployment
import runner

CONTACT_TIMEOUT_S = 3.0
RUNNERS = 4
SLOTS = 24
WORK_S = 1.0
# Requests that may wait at a runner: usually, and while it is brittle.
QUEUE = 6
BRITTLE_QUEUE = 2
# Requests that a brittle runner may turn away in a second (Server-Brittle).
BRITTLE = 8
# The runners can run 96 requests a second, so they are not overloaded.
USUAL_PER_S = 60.0
BUSY_PER_S = 90.0
BUSY_S = 8.0
ALLOWED_FALLS = 2 + 0.1 * RUNNERS


def make_config():
    """Return a config with one model service."""
    return deployment.config(
        1,
        [
            deployment.route(
                'letters',
                'stream',
                'engines',
                timeout_ms=12_000,
                allow_resume=True,
                target_gap_ms=250,
            )
        ],
        [
            {
                'name': 'engines',
                'health_check_path': '/health',
                'connection_limit': 400,
                'engine': deployment.engine(['m1'], slots=SLOTS),
            }
        ],
        [deployment.tenant('counter', [deployment.KEY], rate_per_s=0)],
    )


async def send_all(run, per_s, for_s):
    """Send requests at a rate to all instances; return their statuses."""
    tasks, started_at = [], time.monotonic()
    for number in range(int(per_s * for_s)):
        instance = run.instances[number % len(run.instances)]
        part = time.monotonic_ns()
        tasks.append(
            asyncio.ensure_future(
                instance.send(
                    f'/letters/{part:x}',
                    deadline_ms=12_005,
                    headers=[
                        ('X-Model', 'm1'),
                        ('X-Token-Counts', '826,294'),
                        ('X-Prompt-Prefix', f'{part:x}:826'),
                    ],
                )
            )
        )
        due_at = started_at + (number + 1) / per_s
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
    return [answer.status for _, _, answer in await asyncio.gather(*tasks)]


async def case(run, trouble):
    """Play the case; return the broken rule, or None."""
    run.store.put('config', 'main', make_config())
    runners = [
        runner.Runner(
            run.store,
            run.store_host,
            run.record,
            f'i-engine-{n}',
            'engines',
            work_s=WORK_S,
            slots=SLOTS,
            queue=QUEUE,
            models=['m1'],
        )
        for n in range(1, RUNNERS + 1)
    ]
    for one in runners:
        await one.start()
    await run.start()
    await send_all(run, USUAL_PER_S, 3.0)
    if trouble:
        for one in runners:
            one.brittle = BRITTLE
    await send_all(run, USUAL_PER_S, CONTACT_TIMEOUT_S)
    for one in runners:
        one.queue = BRITTLE_QUEUE if trouble else QUEUE
    statuses = await send_all(run, BUSY_PER_S, BUSY_S)
    run.record(f'answers: {dict(collections.Counter(statuses))}')
    falls = [fall for one in runners for fall in one.falls]
    lost = sum(lost for _, lost in falls)
    run.record(f'{len(falls)} falls, {lost} requests in the runners then')
    if len(falls) <= ALLOWED_FALLS:
        return None
    return (
        f'LIMIT: {RUNNERS} brittle runners fell over {len(falls)} times, '
        f'with {lost} requests in them'
    )


deployment.run(case, instances=12)
