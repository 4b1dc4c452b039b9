"""Run scenarios and variants over seeds in parallel processes."""

from concurrent import futures
import dataclasses

from wagtailtide_bench import baselines
from wagtailtide_bench import core_variant
from wagtailtide_bench import deployments
from wagtailtide_bench import scenarios
from wagtailtide_bench import score
from wagtailtide_bench import simulation

VARIANTS = {
    'round-robin': baselines.RoundRobin,
    'least-outstanding': baselines.LeastOutstanding,
    'wagtailtide': core_variant.CoreVariant,
}
# Runs are independent, but more processes would slow down other programs.
MAX_PROCESSES = 4


@dataclasses.dataclass(frozen=True)
class Row:
    """Result of one variant in one scenario.

    Attributes:
        deployment: Name of the deployment.
        scene: Name of the scenario.
        variant: Name of the variant.
        spreads: Spread of each metric over the seeds.
    """

    deployment: str
    scene: str
    variant: str
    spreads: dict[str, score.Spread]


def run_once(deployment, scenario, variant, seed):
    """Run one variant once.

    Args:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        variant: Name of the variant.
        seed: Seed of the requests and of the simulation.

    Returns:
        The Score.
    """
    sim = simulation.Simulation(
        deployments.DEPLOYMENTS[deployment],
        deployments.ASSUMPTIONS,
        scenarios.SCENARIOS[scenario],
        seed,
    )
    sim.run(VARIANTS[variant](sim))
    return score.compute(sim)


def run_all(deployment_names, scenario_names, variant_names, seeds):
    """Run every combination over all seeds.

    Args:
        deployment_names: Names of deployments.
        scenario_names: Names of scenarios.
        variant_names: Names of variants.
        seeds: Seeds of the runs.

    Returns:
        A Row for each combination, in this order.
    """
    combinations = [
        (deployment, scenario, variant)
        for deployment in deployment_names
        for scenario in scenario_names
        for variant in variant_names
    ]
    with futures.ProcessPoolExecutor(MAX_PROCESSES) as pool:
        pending = [
            [pool.submit(run_once, *combination, seed) for seed in seeds]
            for combination in combinations
        ]
        return [
            Row(
                *combination,
                score.spreads([future.result() for future in runs]),
            )
            for combination, runs in zip(combinations, pending, strict=True)
        ]
