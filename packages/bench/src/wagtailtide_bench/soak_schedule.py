"""Seeded fault schedules for soak runs."""

import dataclasses
import random

# A fault NAME is applied by the method _fault_NAME of soak_faults.Faults. The
# seed of the run also determines the targets of each fault.
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

MIN_DURATION_S = 1.0
MAX_DURATION_S = 9.0


@dataclasses.dataclass(frozen=True)
class Step:
    """One step of a schedule: faults that begin together.

    Attributes:
        faults: Names of one or two faults; both may be the same.
        duration_s: Time in seconds until the faults end.
        pause_s: Time in seconds from their end to the next step; if negative,
            the steps overlap.
        target_seed: Seed for the choice of the faults' targets.
    """

    faults: tuple[str, ...]
    duration_s: float
    pause_s: float
    target_seed: int

    def __str__(self):
        faults = '+'.join(self.faults)
        return (
            f'{faults} {self.duration_s}s then {self.pause_s}s '
            f'{self.target_seed}'
        )


def make_schedule(seed, steps):
    """Return the steps of a run as a tuple.

    Args:
        seed: Seed of the run.
        steps: Number of steps.
    """
    rng = random.Random(f'schedule-{seed}')
    schedule = []
    for _ in range(steps):
        fault = rng.choice(FAULTS)
        draw = rng.random()
        if draw < 0.5:
            faults = (fault,)
        elif draw < 0.85:
            faults = (fault, rng.choice(FAULTS))
        else:
            faults = (fault, fault)
        duration_s = round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 1)
        # About a third of the steps overlap with the next one.
        pause_s = round(rng.uniform(-duration_s / 2, 4.0), 1)
        schedule.append(
            Step(faults, duration_s, pause_s, rng.randrange(1_000))
        )
    return tuple(schedule)


def make_rng(step, index):
    """Return the source of random numbers for one fault of a step.

    Args:
        step: The Step.
        index: Index of the fault in the step.
    """
    return random.Random(f'{step.target_seed}-{index}')
