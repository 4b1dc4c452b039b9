"""Measuring runs in virtual time and slopes of the decision code."""

import dataclasses
from typing import Annotated

import cappa

from wagtailtide_bench import capacity
from wagtailtide_bench import fits
from wagtailtide_bench import fleet_slopes
from wagtailtide_bench import processes
from wagtailtide_bench import report
from wagtailtide_bench import runs
from wagtailtide_bench import scenes
from wagtailtide_bench import sizes
from wagtailtide_bench import slopes

TARGETS = ('table', 'slopes', 'capacity', 'processes')


@cappa.command(name='bench')
@dataclasses.dataclass
class Arguments:
    """Measure the decisions.

    Attributes:
        targets: What to measure; all by default.
        seeds: Number of seeds.
        first_seed: The first seed.
        deployment: Deployments; all by default.
        scene: Scenes; all by default.
        variant: Variants; all by default.
        json: Whether to print JSON.
    """

    targets: Annotated[list[str], cappa.Arg(choices=TARGETS)] = (
        dataclasses.field(default_factory=list)
    )
    seeds: Annotated[int, cappa.Arg(long=True)] = 3
    first_seed: Annotated[int, cappa.Arg(long=True)] = 1
    deployment: Annotated[list[str], cappa.Arg(long=True)] = dataclasses.field(
        default_factory=list
    )
    scene: Annotated[list[str], cappa.Arg(long=True)] = dataclasses.field(
        default_factory=list
    )
    variant: Annotated[list[str], cappa.Arg(long=True)] = dataclasses.field(
        default_factory=list
    )
    json: Annotated[bool, cappa.Arg(long=True)] = False


def main(argv=None):
    """Measure what the arguments ask for and print it."""
    args = cappa.parse(Arguments, argv=argv)
    targets = args.targets or TARGETS
    if 'table' in targets:
        rows = runs.run_all(
            args.deployment or sorted(sizes.DEPLOYMENTS),
            args.scene or list(scenes.SCENES),
            args.variant or list(runs.VARIANTS),
            range(args.first_seed, args.first_seed + args.seeds),
        )
        print(report.to_json(rows) if args.json else report.format_rows(rows))
    if 'slopes' in targets:
        found = slopes.measure_all() + fleet_slopes.measure_all()
        print(report.to_json(found) if args.json else fits.format_fits(found))
    if 'capacity' in targets:
        rows, found = capacity.measure_all()
        print(capacity.format_rows(rows), fits.format_fits(found), sep='\n')
    if 'processes' in targets:
        print(capacity.format_rows(processes.measure_all()))


if __name__ == '__main__':
    main()
