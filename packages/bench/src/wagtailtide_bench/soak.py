"""Run a fleet under seeded schedules of faults and check its invariants.

The seed fixes the schedule and what callers send. Real sockets carry the
traffic, so the order of events within a few milliseconds may differ between
two runs of one seed.
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
    """Run schedules of faults against a fleet in virtual time.

    Attributes:
        seed: Seed of the first run; each further run adds one.
        runs: Number of runs.
        steps: Steps of each schedule.
        verbose: Log what the instances log.
    """

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    runs: Annotated[int, cappa.Arg(long=True)] = 20
    steps: Annotated[int, cappa.Arg(long=True)] = 10
    verbose: Annotated[bool, cappa.Arg(long=True)] = False


def summarise(run):
    """Return counts of a run's answers in one line."""
    answers = run.callers.answers
    counts = collections.Counter(
        'whole'
        if a.whole
        else 'cut'
        if a.error is None
        else a.error.get('kind')
        for a in answers
    )
    shown = ' '.join(f'{kind}={n}' for kind, n in counts.most_common())
    return f'seed={run.seed} requests={len(answers)} {shown}'


def main(argv=None):
    """Run the command and return the exit status."""
    args = cappa.parse(Soak, argv=argv)
    logging.basicConfig(
        level=logging.INFO if args.verbose else logging.CRITICAL + 1
    )
    failed = []
    for seed in range(args.seed, args.seed + args.runs):
        run = soak_run.execute(seed, args.steps)
        print(summarise(run), flush=True)
        if run.found:
            failed.append(seed)
            print(f'FAILED seed={seed} steps={args.steps}; schedule:')
            for step in run.schedule:
                print(f'  {step}')
            for text in run.found:
                print(f'  violation: {text}', flush=True)
    steps = args.runs * args.steps
    print(f'{args.runs} runs, {steps} steps, failed seeds: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
