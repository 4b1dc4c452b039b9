"""A runner leaves after the store has come back from a copy."""

import asyncio
import time

import deployment
import runner

# Seconds that the store forgets, and for which it is away.
COPY_AGE_S = 8.0
AWAY_S = 1.0
# Bounds of the site.
CONTACT_TIMEOUT_S = 3.0
DRAIN_S = 2.0
# The leaving runner exits this long after its report was accepted.
EXIT_S = DRAIN_S + 0.5
# Orders to each instance, this long before the exit. They take 90 ms.
ORDERS = 4
BEFORE_EXIT_S = 0.06


def make_config():
    """Return a config with one plain service."""
    return deployment.config(
        1,
        [deployment.route('issue', 'non_idempotent', 'ledger', attempts=1)],
        [
            {
                'name': 'ledger',
                'health_check_path': '/health',
                'connection_limit': 192,
            }
        ],
        [deployment.tenant('counter', [deployment.KEY])],
    )


async def case(run, trouble):
    """Play the case; return the broken rule, or None."""
    run.store.put('config', 'main', make_config())
    runners = [
        runner.Runner(
            run.store,
            run.store_host,
            run.record,
            f'i-ledger-{n}',
            'ledger',
            work_s=0.09,
        )
        for n in range(1, 5)
    ]
    for old in runners[:3]:
        await old.start()
    await run.start()
    saved = run.store.make_copy()
    copied_at = time.monotonic()
    run.record('the copy is made')
    await asyncio.sleep(COPY_AGE_S - 1.0)
    added = runners[3]
    await added.start()
    await asyncio.sleep(1.0)
    if trouble:
        run.record(f'the copy is {time.monotonic() - copied_at:.1f} s old')
        await run.store.restore(saved, AWAY_S)
    # All machines are in touch again, and the store is stable.
    await asyncio.sleep(CONTACT_TIMEOUT_S + 0.6)
    confirmed_at = added.drain()
    run.record(f'draining of {added.id} is confirmed')
    # A quiet time: nobody asks for the service for two seconds.
    await asyncio.sleep(EXIT_S - BEFORE_EXIT_S)
    async with asyncio.TaskGroup() as tg:
        orders = [
            tg.create_task(instance.send('/issue/1'))
            for instance in run.instances
            for _ in range(ORDERS)
        ]
        await asyncio.sleep(BEFORE_EXIT_S)
        run.record(f'{added.id} exits')
        await added.stop()
    lost = [
        answer.status
        for _, _, answer in (order.result() for order in orders)
        if answer.status not in (200, 503)
    ]
    run.record(f'{len(lost)} orders were lost, answered {lost}')
    late = [
        at - confirmed_at
        for at, _, ran, _ in added.arrived
        if ran and at - confirmed_at > DRAIN_S
    ]
    if not late:
        return None
    return (
        f'DRAIN: {len(late)} orders reached {added.id} up to '
        f'{max(late):.1f} s after its draining was confirmed'
    )


deployment.run(case, instances=3)
