import dataclasses
import random
import unittest

from wagtailtide_bench import engines
from wagtailtide_bench import loop
from wagtailtide_bench import runs
from wagtailtide_bench import scenes
from wagtailtide_bench import score
from wagtailtide_bench import sizes
from wagtailtide_bench import workload
from wagtailtide_bench import world

CFG = dataclasses.replace(sizes.ASSUMPTIONS, slots=2, token_growth=1.0)
MODEL = ('model-0', 'v1')


def make_request(number, tokens, cls=workload.INTERACTIVE):
    return workload.Request(
        number, 0.0, 'org-0', cls, MODEL, None, ('o', 'm', number), 0, tokens
    )


class EngineTest(unittest.TestCase):
    def setUp(self):
        self.loop = loop.Loop()
        store = engines.AdapterStore(self.loop, sizes.LAHORE, random.Random(1))
        self.engine = engines.Engine(self.loop, 'e', 'z', CFG, store)
        self.engine.models.add(MODEL)
        self.ends = {}

    def submit(self, number, tokens, cls=workload.INTERACTIVE):
        def end(whole):
            self.ends[number] = (self.loop.now, whole)

        req = make_request(number, tokens, cls)
        self.assertIsNone(self.engine.submit(req, lambda: None, end))
        return req

    def test_slows_down_with_occupancy_and_honours_priority(self):
        self.submit(1, 100)
        self.submit(2, 50)
        self.submit(3, 10, workload.BATCH)
        self.submit(4, 10)
        self.loop.run(60)
        # Two at a time take twice as long for each token.
        self.assertAlmostEqual(self.ends[2][0], 50 * 0.036, places=3)
        self.assertAlmostEqual(self.ends[4][0], 60 * 0.036, places=3)
        self.assertAlmostEqual(self.ends[3][0], 70 * 0.036, places=3)
        last = 70 * 0.036 + 30 * 0.018
        self.assertAlmostEqual(self.ends[1][0], last, places=3)

    def test_crash_breaks_requests_with_their_progress(self):
        req = self.submit(1, 100)
        self.loop.run(0.9)
        self.engine.crash()
        self.assertEqual(self.ends[1], (0.9, False))
        self.assertAlmostEqual(req.done, 50)
        self.loop.run(60)
        self.assertEqual(len(self.ends), 1)


class RunTest(unittest.TestCase):
    def test_each_request_ends_once_in_every_scene_and_variant(self):
        # A request that neither ends nor is refused would pass for refused.
        small = dataclasses.replace(sizes.PIEDMONT, instances=4)
        for scene in scenes.SCENES.values():
            scene = dataclasses.replace(scene, duration_s=40.0)
            for variant in runs.VARIANTS.values():
                place = world.World(small, sizes.ASSUMPTIONS, scene, 1)
                place.run(variant(place))
                lost = [
                    r
                    for r in place.requests
                    if (r.ended_at is None) == (r.refused is None)
                ]
                self.assertEqual(lost, [], (scene.name, variant))

    def test_same_seed_gives_same_figures(self):
        first, second = (
            runs.run_once('piedmont', 'engine-lost', 'wagtailtide', 3)
            for _ in range(2)
        )
        self.assertEqual(first, second)

    def test_tokens_over_rate_do_not_count_as_attained(self):
        place = world.World(
            sizes.PIEDMONT, sizes.ASSUMPTIONS, scenes.SCENES['flood'], 1
        )
        place.run(runs.VARIANTS['least-outstanding'](place))
        result = score.score(place)
        self.assertGreater(result.over_rate_answered, 0.2)
        self.assertLessEqual(result.attainment, 1.0)
