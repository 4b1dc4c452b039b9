"""Run scenes and variants over seeds, in a few processes."""

from concurrent import futures
import dataclasses

from wagtailtide_bench import baselines
from wagtailtide_bench import ours
from wagtailtide_bench import scenes
from wagtailtide_bench import score
from wagtailtide_bench import sizes
from wagtailtide_bench import world

VARIANTS = {
    'round-robin': baselines.RoundRobin,
    'least-outstanding': baselines.LeastOutstanding,
    'wagtailtide': ours.Wagtailtide,
}
# Runs are independent; more workers would crowd out whatever else is running.
WORKERS = 4


@dataclasses.dataclass(frozen=True)
class Row:
    """One variant in one scene.

    Attributes:
        deployment: Name of the deployment.
        scene: Name of the scene.
        variant: Name of the variant.
        spreads: Spread of each figure over the seeds.
    """

    deployment: str
    scene: str
    variant: str
    spreads: dict[str, score.Spread]


def run_once(deployment, scene, variant, seed):
    """Run one variant once and return its Score."""
    place = world.World(
        sizes.DEPLOYMENTS[deployment],
        sizes.ASSUMPTIONS,
        scenes.SCENES[scene],
        seed,
    )
    place.run(VARIANTS[variant](place))
    return score.score(place)


def run_all(deployments, scene_names, variants, seeds):
    """Run every combination and return its Rows in order."""
    keys = [
        (deployment, scene, variant)
        for deployment in deployments
        for scene in scene_names
        for variant in variants
    ]
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        running = [
            [pool.submit(run_once, *key, seed) for seed in seeds]
            for key in keys
        ]
        return [
            Row(*key, score.spreads([f.result() for f in found]))
            for key, found in zip(keys, running, strict=True)
        ]
