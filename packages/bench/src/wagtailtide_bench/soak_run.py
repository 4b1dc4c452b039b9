"""One soak run: a fleet, callers, a fault schedule and the checks."""

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
# Every instance applies a new configuration within this time (design section
# 1.6).
CONFIG_PROPAGATION_S = 11.0
# Time after the last fault within which the fleet must serve again: leases of
# slots are renewed, breakers are closed, and the token buckets of restarted
# instances, which start empty, are refilled by then.
RECOVERY_S = 20.0
VERSION_SAMPLE_S = 0.5
# Kinds of errors that may answer a repeated keyed POST after all faults ended.
SETTLED_KINDS = ('outcome_unknown', 'rate_exceeded')
# Rate in tokens per second and burst in tokens. The first organisation stays
# within its rate, the second does not.
RATES = {'tiles': (5_000.0, 20_000), 'fans': (12.0, 150)}


class Run:
    """One soak run.

    Attributes:
        seed: Seed of the schedule and of all random choices.
        schedule: Steps of the fault schedule.
        fleet: The Fleet.
        faults: The Faults, which record what they did.
        callers: The Callers, which record their answers.
        api_keys: Keys by name of the organisation.
        violations: Descriptions of the violations found so far.
        faults_ended_at: Time in seconds at which all faults had ended.
    """

    def __init__(self, seed, steps):
        self.seed = seed
        self.schedule = soak_schedule.make_schedule(seed, steps)
        rng = random.Random(f'run-{seed}')
        generated = [
            builders.make_organisation(
                name,
                (f'{name}-1', f'{name}-2'),
                rng,
                rate_tokens_per_s=rate,
                burst_tokens=burst,
            )
            for name, (rate, burst) in RATES.items()
        ]
        self.api_keys = {org.name: keys for org, keys in generated}
        self.violations = []
        self.faults_ended_at = 0.0
        self.fleet = fleets.Fleet(seed, tuple(org for org, _ in generated))
        self.faults = soak_faults.Faults(self.fleet, self.api_keys)
        self.callers = soak_callers.Callers(
            self.fleet, self.faults, self.api_keys
        )

    @property
    def poison_prompts(self):
        """Prompts that crash engines."""
        return self.faults.poison_prompts

    def servers(self):
        """Return all backend servers by name."""
        return {**self.fleet.engines, **self.fleet.ledgers}

    async def run(self):
        """Run the schedule and the checks, and return all violations."""
        async with self.callers.client, self.fleet.running(INSTANCES):
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch_versions)
                await anyio.sleep(WARM_UP_S)
                await self._run_schedule()
                await self._check_recovery()
                group.cancel_scope.cancel()
            self.violations += soak_checks.check_all(self)
        return self.violations

    async def _run_schedule(self):
        until = anyio.current_time() + sum(
            max(0.1, step.duration_s + step.pause_s) for step in self.schedule
        )
        async with anyio.create_task_group() as group:
            for index, org in enumerate([*RATES, *RATES]):
                rng = random.Random(f'caller-{self.seed}-{index}')
                group.start_soon(self.callers.run, org, rng, until)
            rng = random.Random(f'poison-{self.seed}')
            group.start_soon(
                self.callers.send_poison_prompts, 'tiles', rng, until
            )
            for step in self.schedule:
                for index, name in enumerate(step.faults):
                    rng = soak_schedule.make_rng(step, index)
                    group.start_soon(
                        self.faults.apply, name, step.duration_s, rng
                    )
                await anyio.sleep(max(0.1, step.duration_s + step.pause_s))
        self.faults.end_all()
        self.faults_ended_at = anyio.current_time()

    async def _check_recovery(self):
        fleet, service = self.fleet, fleets.SERVICE
        expected = fleet.version
        await anyio.sleep(CONFIG_PROPAGATION_S)
        for node in fleet.nodes.values():
            actual = node.inst.plane.config.versions.get(service)
            if actual != expected:
                self.violations.append(
                    f'{node.name} has version {actual}, expected {expected}, '
                    f'{CONFIG_PROPAGATION_S} s after the last fault'
                )
        rng = random.Random(self.seed)
        async for answer in self.callers.repeat_all(rng):
            kind = (answer.error or {}).get('kind')
            if not answer.whole and kind not in SETTLED_KINDS:
                self.violations.append(f'not settled after recovery: {answer}')
        await anyio.sleep(RECOVERY_S - CONFIG_PROPAGATION_S)
        async for answer in self.callers.probe('tiles'):
            if not answer.whole:
                self.violations.append(f'not served after recovery: {answer}')

    async def _watch_versions(self):
        latest = {}
        while True:
            for node in self.fleet.nodes.values():
                for number, inst in enumerate(node.instances):
                    for service, actual in inst.plane.config.versions.items():
                        key = (node.name, number, service)
                        if actual < latest.get(key, 0):
                            self.violations.append(
                                f'version of {key} went from {latest[key]} '
                                f'back to {actual}'
                            )
                        latest[key] = actual
            await anyio.sleep(VERSION_SAMPLE_S)


def execute(seed, steps):
    """Run one schedule in virtual time.

    Args:
        seed: Seed of the schedule and of all random choices.
        steps: Number of steps.

    Returns:
        The finished Run, with all violations.
    """
    run = Run(seed, steps)
    clock = fleet_network.make_clock()
    trio.run(functools.partial(run.run), clock=clock)
    return run
