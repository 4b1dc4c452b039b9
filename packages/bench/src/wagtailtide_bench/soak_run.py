"""One soak run: a fleet, callers, a schedule of faults and the checks."""

import functools
import random

import anyio
import trio
from wagtailtide_testing import builders
from wagtailtide_testing import fleet as fleets
from wagtailtide_testing import fleet_network

from wagtailtide_bench import soak_callers
from wagtailtide_bench import soak_checks
from wagtailtide_bench import soak_faults
from wagtailtide_bench import soak_schedule

INSTANCES = 4
WARM_UP_S = 6.0
# A configuration is in force everywhere within this time (design, 1.6).
IN_FORCE_S = 11.0
# After it the fleet must serve again: leases of slots, breakers and the
# buckets of restarted instances, which start empty, are in order by then.
RECOVERY_S = 20.0
SAMPLE_S = 0.5
# What a repeated keyed post may be answered with once all faults have ended.
SETTLED = ('outcome_unknown', 'rate_exceeded')
# The first organisation stays within its rate, the second does not.
RATES = {'tiles': (5_000.0, 20_000), 'fans': (12.0, 150)}


class Run:
    """One run.

    Attributes:
        schedule: Steps of the run.
        fleet: The Fleet.
        faults: Applied Faults.
        callers: Callers with their answers.
        presented: Keys by organisation.
        found: Violations seen while it ran; then all.
        ended_at: Time at which the faults had ended.
    """

    def __init__(self, seed, steps):
        self.seed = seed
        self.schedule = soak_schedule.make_schedule(seed, steps)
        rng = random.Random(f'run-{seed}')
        made = [
            builders.make_organisation(
                name,
                (f'{name}-1', f'{name}-2'),
                rng,
                rate_tokens_per_s=rate,
                burst_tokens=burst,
            )
            for name, (rate, burst) in RATES.items()
        ]
        self.presented = {org.name: keys for org, keys in made}
        self.found = []
        self.ended_at = 0.0
        self.fleet = fleets.Fleet(seed, tuple(org for org, _ in made))
        self.faults = soak_faults.Faults(self.fleet, self.presented)
        self.callers = soak_callers.Callers(
            self.fleet, self.faults, self.presented
        )

    @property
    def poisoned(self):
        """Prompts that crash engines."""
        return self.faults.poisoned

    def servers(self):
        """Return all backend servers by name."""
        return {**self.fleet.engines, **self.fleet.ledgers}

    async def run(self):
        """Run; return the violations."""
        async with self.callers.client, self.fleet.running(INSTANCES):
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch_versions)
                await anyio.sleep(WARM_UP_S)
                await self._run_schedule()
                await self._check_recovery()
                group.cancel_scope.cancel()
            self.found += soak_checks.check_all(self)
        return self.found

    async def _run_schedule(self):
        until = anyio.current_time() + sum(
            max(0.1, step.lasts_s + step.pause_s) for step in self.schedule
        )
        async with anyio.create_task_group() as group:
            for index, org in enumerate([*RATES, *RATES]):
                rng = random.Random(f'caller-{self.seed}-{index}')
                group.start_soon(self.callers.run, org, rng, until)
            rng = random.Random(f'poison-{self.seed}')
            group.start_soon(self.callers.repeat_poison, 'tiles', rng, until)
            for step in self.schedule:
                for index, name in enumerate(step.faults):
                    rng = soak_schedule.make_rng(step, index)
                    group.start_soon(
                        self.faults.apply, name, step.lasts_s, rng
                    )
                await anyio.sleep(max(0.1, step.lasts_s + step.pause_s))
        self.faults.end_all()
        self.ended_at = anyio.current_time()

    async def _check_recovery(self):
        fleet, config = self.fleet, fleets.SERVICE
        expected = fleet.version
        await anyio.sleep(IN_FORCE_S)
        for node in fleet.nodes.values():
            got = node.inst.plane.config.versions.get(config)
            if got != expected:
                self.found.append(
                    f'{node.name} has version {got}, expected {expected}, '
                    f'{IN_FORCE_S} s after the last fault'
                )
        rng = random.Random(self.seed)
        async for answer in self.callers.repeat_all(rng):
            kind = (answer.error or {}).get('kind')
            if not answer.whole and kind not in SETTLED:
                self.found.append(f'not settled after recovery: {answer}')
        await anyio.sleep(RECOVERY_S - IN_FORCE_S)
        async for answer in self.callers.probe('tiles'):
            if not answer.whole:
                self.found.append(f'not served after recovery: {answer}')

    async def _watch_versions(self):
        seen = {}
        while True:
            for node in self.fleet.nodes.values():
                for number, inst in enumerate(node.processes):
                    for service, got in inst.plane.config.versions.items():
                        key = (node.name, number, service)
                        if got < seen.get(key, 0):
                            self.found.append(
                                f'version of {key} went from {seen[key]} '
                                f'back to {got}'
                            )
                        seen[key] = got
            await anyio.sleep(SAMPLE_S)


def execute(seed, steps):
    """Run one schedule in virtual time.

    Args:
        seed: Seed of the schedule and of all choices.
        steps: Number of steps.

    Returns:
        The finished Run.
    """
    run = Run(seed, steps)
    clock = fleet_network.make_clock()
    trio.run(functools.partial(run.run), clock=clock)
    return run
