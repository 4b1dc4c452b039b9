"""Run a fleet under seeded fault schedules and check its invariants.

The seed determines the fault schedule and the requests of the callers. Traffic
goes over real sockets, so the order of events within a few milliseconds may
differ between two runs of the same seed.
"""

import collections
import dataclasses
import logging
import sys
from typing import Annotated

import cappa

from wagtailtide_bench import soak_run


@dataclasses.dataclass
class Soak:
    """Run seeded fault schedules against a fleet in virtual time.

    Attributes:
        seed: Seed of the first run; each further run adds one.
        runs: Number of runs.
        steps: Number of steps in each schedule.
        verbose: Whether to print the logs of the instances.
    """

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    runs: Annotated[int, cappa.Arg(long=True)] = 20
    steps: Annotated[int, cappa.Arg(long=True)] = 10
    verbose: Annotated[bool, cappa.Arg(long=True)] = False


def summarise(run):
    """Return one line with the seed of a run and the counts of its answers."""
    answers = run.callers.answers
    counts = collections.Counter(
        'whole'
        if a.whole
        else 'cut'
        if a.error is None
        else a.error.get('kind')
        for a in answers
    )
    formatted = ' '.join(f'{kind}={n}' for kind, n in counts.most_common())
    return f'seed={run.seed} requests={len(answers)} {formatted}'


def main(argv=None):
    """Run the command and return the exit status."""
    args = cappa.parse(Soak, argv=argv)
    logging.basicConfig(
        level=logging.INFO if args.verbose else logging.CRITICAL + 1
    )
    failed_seeds = []
    for seed in range(args.seed, args.seed + args.runs):
        run = soak_run.execute(seed, args.steps)
        print(summarise(run), flush=True)
        if run.violations:
            failed_seeds.append(seed)
            print(f'FAILED seed={seed} steps={args.steps}; schedule:')
            for step in run.schedule:
                print(f'  {step}')
            for violation in run.violations:
                print(f'  violation: {violation}', flush=True)
    steps = args.runs * args.steps
    print(f'{args.runs} runs, {steps} steps, failed seeds: {failed_seeds}')
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    sys.exit(main())
