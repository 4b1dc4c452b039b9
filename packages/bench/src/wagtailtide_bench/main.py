"""Benchmarks in virtual time, and measurements of cost by fleet size."""

import dataclasses
from typing import Annotated

import cappa

from wagtailtide_bench import capacity
from wagtailtide_bench import deployments
from wagtailtide_bench import fits
from wagtailtide_bench import fleet_slopes
from wagtailtide_bench import processes
from wagtailtide_bench import report
from wagtailtide_bench import runs
from wagtailtide_bench import scenarios
from wagtailtide_bench import slopes

TARGETS = ('table', 'slopes', 'capacity', 'processes')


@cappa.command(name='bench')
@dataclasses.dataclass
class Arguments:
    """Compare control variants and measure how costs grow.

    Attributes:
        targets: Measurements to run; all by default.
        seeds: Number of seeds for the table.
        first_seed: First seed for the table.
        deployment: Deployments in the table; all by default.
        scene: Scenarios in the table; all by default.
        variant: Control variants in the table; all by default.
        json: Whether to print the table and the slopes as JSON.
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
    """Run the requested measurements and print their results."""
    args = cappa.parse(Arguments, argv=argv)
    targets = args.targets or TARGETS
    if 'table' in targets:
        rows = runs.run_all(
            args.deployment or sorted(deployments.DEPLOYMENTS),
            args.scene or list(scenarios.SCENARIOS),
            args.variant or list(runs.VARIANTS),
            range(args.first_seed, args.first_seed + args.seeds),
        )
        print(report.to_json(rows) if args.json else report.format_rows(rows))
    if 'slopes' in targets:
        slope_fits = slopes.measure_all() + fleet_slopes.measure_all()
        print(
            report.to_json(slope_fits)
            if args.json
            else fits.format_fits(slope_fits)
        )
    if 'capacity' in targets:
        rows, slope_fits = capacity.measure_all()
        print(
            capacity.format_rows(rows), fits.format_fits(slope_fits), sep='\n'
        )
    if 'processes' in targets:
        print(capacity.format_rows(processes.measure_all()))


if __name__ == '__main__':
    main()
