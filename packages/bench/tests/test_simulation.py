import dataclasses
import random
import unittest

from wagtailtide_bench import deployments
from wagtailtide_bench import engines
from wagtailtide_bench import event_loop
from wagtailtide_bench import runs
from wagtailtide_bench import scenarios
from wagtailtide_bench import score
from wagtailtide_bench import simulation
from wagtailtide_bench import workload

CFG = dataclasses.replace(deployments.ASSUMPTIONS, slots=2, token_growth=1.0)
MODEL = ('model-0', 'v1')


def make_request(number, tokens, priority_class=workload.INTERACTIVE):
    return workload.Request(
        number,
        0.0,
        'org-0',
        priority_class,
        MODEL,
        None,
        ('o', 'm', number),
        0,
        tokens,
    )


class EngineTest(unittest.TestCase):
    def setUp(self):
        self.loop = event_loop.EventLoop()
        store = engines.AdapterStore(
            self.loop, deployments.LAHORE, random.Random(1)
        )
        self.engine = engines.Engine(self.loop, 'e', 'z', CFG, store)
        self.engine.models.add(MODEL)
        self.ends = {}

    def submit(self, number, tokens, priority_class=workload.INTERACTIVE):
        def handle_end(complete):
            self.ends[number] = (self.loop.now, complete)

        req = make_request(number, tokens, priority_class)
        self.assertIsNone(self.engine.submit(req, lambda: None, handle_end))
        return req

    def test_token_time_grows_with_occupancy_and_priority_is_kept(self):
        self.submit(1, 100)
        self.submit(2, 50)
        self.submit(3, 10, workload.BATCH)
        self.submit(4, 10)
        self.loop.run(60)
        # Two running requests double the time per token.
        self.assertAlmostEqual(self.ends[2][0], 50 * 0.036, places=3)
        self.assertAlmostEqual(self.ends[4][0], 60 * 0.036, places=3)
        self.assertAlmostEqual(self.ends[3][0], 70 * 0.036, places=3)
        last_end_s = 70 * 0.036 + 30 * 0.018
        self.assertAlmostEqual(self.ends[1][0], last_end_s, places=3)

    def test_crash_breaks_requests_and_keeps_their_progress(self):
        req = self.submit(1, 100)
        self.loop.run(0.9)
        self.engine.crash()
        self.assertEqual(self.ends[1], (0.9, False))
        self.assertAlmostEqual(req.generated, 50)
        self.loop.run(60)
        self.assertEqual(len(self.ends), 1)


class RunTest(unittest.TestCase):
    def test_each_request_ends_once_in_every_scenario_and_variant(self):
        # The score counts a request that neither ends nor is refused as
        # refused, so such a fault would not show there.
        small = dataclasses.replace(deployments.PIEDMONT, instances=4)
        for scenario in scenarios.SCENARIOS.values():
            scenario = dataclasses.replace(scenario, duration_s=40.0)
            for variant in runs.VARIANTS.values():
                sim = simulation.Simulation(
                    small, deployments.ASSUMPTIONS, scenario, 1
                )
                sim.run(variant(sim))
                inconsistent = [
                    r
                    for r in sim.requests
                    if (r.ended_at is None) == (r.refusal is None)
                ]
                self.assertEqual(inconsistent, [], (scenario.name, variant))

    def test_same_seed_gives_same_score(self):
        first, second = (
            runs.run_once('piedmont', 'engine-lost', 'wagtailtide', 3)
            for _ in range(2)
        )
        self.assertEqual(first, second)

    def test_tokens_over_rate_do_not_count_as_attained(self):
        sim = simulation.Simulation(
            deployments.PIEDMONT,
            deployments.ASSUMPTIONS,
            scenarios.SCENARIOS['flood'],
            1,
        )
        sim.run(runs.VARIANTS['least-outstanding'](sim))
        result = score.compute(sim)
        self.assertGreater(result.over_rate_answered, 0.2)
        self.assertLessEqual(result.attainment, 1.0)
