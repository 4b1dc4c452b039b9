"""Seeded schedules of faults for soak runs."""

import dataclasses
import random

# Each name is that of a method _fault_... of soak_faults.Faults. What a fault
# is applied to is drawn with the run's seed as well.
INSTANCE = ('crash_instance', 'stop_instance', 'pause_instance')
PLATFORM = (
    'platform_outage',
    'platform_hang',
    'platform_slow',
    'platform_lost_answers',
    'platform_stale_reads',
)
LINKS = (
    'cut_pair',
    'cut_platform',
    'cut_server',
    'cut_zone',
    'silent_instance',
    'silent_servers',
)
SERVERS = (
    'ledger_crash_after_apply',
    'ledger_cut_answer',
    'ledger_crossed_answer',
    'ledger_drain',
    'engine_crash',
    'engine_crash_on_prompt',
    'engine_cut_stream',
    'engine_crossed_answer',
    'engine_drain',
)
ORDERS = ('orders_lost', 'orders_late', 'orders_duplicated')
OPERATORS = ('withdraw_key', 'change_document', 'two_operators')
FAULTS = INSTANCE + PLATFORM + LINKS + SERVERS + ORDERS + OPERATORS

SHORTEST_S = 1.0
LONGEST_S = 9.0


@dataclasses.dataclass(frozen=True)
class Step:
    """One step: faults that begin together.

    Attributes:
        faults: Names of one or two faults; a name may come twice.
        lasts_s: Time until they end.
        pause_s: Time until the next step; below zero they overlap.
        pick: Seed of what the faults are applied to.
    """

    faults: tuple[str, ...]
    lasts_s: float
    pause_s: float
    pick: int

    def __str__(self):
        faults = '+'.join(self.faults)
        return f'{faults} {self.lasts_s}s then {self.pause_s}s {self.pick}'


def make_schedule(seed, steps):
    """Return the steps of a run.

    Args:
        seed: Seed of the run.
        steps: Number of steps.
    """
    rng = random.Random(f'schedule-{seed}')
    made = []
    for _ in range(steps):
        fault = rng.choice(FAULTS)
        form = rng.random()
        if form < 0.5:
            faults = (fault,)
        elif form < 0.85:
            faults = (fault, rng.choice(FAULTS))
        else:
            faults = (fault, fault)
        lasts_s = round(rng.uniform(SHORTEST_S, LONGEST_S), 1)
        # A third of the steps begin before the step before has ended.
        pause_s = round(rng.uniform(-lasts_s / 2, 4.0), 1)
        made.append(Step(faults, lasts_s, pause_s, rng.randrange(1_000)))
    return tuple(made)


def make_rng(step, index):
    """Return the source of what one fault of a step is applied to."""
    return random.Random(f'{step.pick}-{index}')
