"""The store comes back from a copy made before the last change of leader."""

import asyncio
import collections
import signal
import time

import deployment
import runner

LEASE = ('wagtailtide-duties', 'holder')
MODEL = 'm1'
# Seconds for which the store is away in the drill.
AWAY_S = 1.0


def leader_of(run):
    """Return the instance that the lease in the store names."""
    value = run.store.value(*LEASE)
    for instance in run.instances:
        if value and value['holder'] == instance.name:
            return instance
    raise deployment.CannotRun('no instance leads')


class Demand:
    """Requests for adapters that the runner does not have yet."""

    def __init__(self, run, engine):
        self._run = run
        self._engine = engine
        self._count = 0

    async def ask(self):
        """Ask for one more adapter; return its name."""
        self._count += 1
        adapter = f'a{self._count}'
        instances = self._run.instances
        instance = instances[self._count % len(instances)]
        await instance.send(
            '/letters/1',
            headers=[
                ('X-Model', f'{MODEL}/{adapter}'),
                ('X-Token-Counts', '600,50'),
                ('X-Prompt-Prefix', f'5c1e07a2:200,{self._count:x}:400'),
            ],
        )
        return adapter

    async def wait_for_order(self):
        """Ask until the runner gets one more order."""
        before = len(self._engine.orders)
        for _ in range(40):
            await self.ask()
            if len(self._engine.orders) > before:
                return
            await asyncio.sleep(0.1)
        raise deployment.CannotRun('no order was given')

    async def go_on(self, for_s):
        """Ask several times a second for some seconds."""
        until = time.monotonic() + for_s
        async with asyncio.TaskGroup() as tg:
            while time.monotonic() < until:
                tg.create_task(self.ask())
                await asyncio.sleep(0.15)


async def restart_leader(run):
    """Stop the leader and start it again, as a rolling restart does."""
    leader = leader_of(run)
    leader.signal(signal.SIGTERM)
    await leader.wait_end()
    leader.start()
    await leader.wait_ready()


def find_two_holders(orders):
    """Return a text about an epoch number that two holders used, or None."""
    holders = collections.defaultdict(set)
    for _, holder, fence, _ in orders:
        holders[fence].add(holder)
    for fence, names in sorted(holders.items()):
        if len(names) > 1:
            return (
                f'ONE: epoch number {fence} was used by '
                f'{" and ".join(sorted(names))} at one runner'
            )
    return None


async def case(run, trouble):
    """Play the case; return the broken rule, or None."""
    run.store.put(
        'config',
        'main',
        deployment.config(
            1,
            [
                deployment.route(
                    'letters',
                    'stream',
                    'engines',
                    allow_resume=True,
                    session_affinity=True,
                    target_gap_ms=250,
                )
            ],
            [
                {
                    'name': 'engines',
                    'health_check_path': '/health',
                    'connection_limit': 400,
                    'engine': deployment.engine([MODEL]),
                }
            ],
            [deployment.tenant('counter', [deployment.KEY])],
        ),
    )
    engine = runner.Runner(
        run.store,
        run.store_host,
        run.record,
        'i-engine-1',
        'engines',
        models=[MODEL],
        slots=24,
    )
    await engine.start()
    await run.start()
    demand = Demand(run, engine)
    await demand.wait_for_order()
    saved = run.store.make_copy()
    copied_at = time.monotonic()
    run.record('the copy is made')
    # Planned work: machines are stopped and started again in turn.
    for _ in range(2):
        await restart_leader(run)
        await demand.wait_for_order()
    if trouble:
        run.record(f'the copy is {time.monotonic() - copied_at:.1f} s old')
        await run.store.restore(saved, AWAY_S)
    await demand.go_on(8.0)
    return find_two_holders(engine.orders)


deployment.run(case, instances=6)
