import unittest

from wagtailtide_testing import virtual_time

from tests.control import placement_load

URGENT = [f'u{i:02}' for i in range(25)]
RARE = [f'r{i:02}' for i in range(40)]


def traffic(elapsed_s):
    """Return busy models, which change once, and rarely requested ones."""
    busy = URGENT[:10] if elapsed_s < 12.0 else URGENT[2:12]
    weights = [(i + 1) ** -0.6 for i in range(len(busy))]
    return [
        (placement_load.CHAT, busy, weights, 100.0),
        (placement_load.BATCH, RARE, [1.0] * len(RARE), 10.0),
    ]


DAY_S = 30.0
LIMITED_FROM_S = 5.0


async def serve_day(seed, limited):
    """Serve 31 models, all of which are asked for, on nine engines.

    Returns:
        Number of requests served, and of models never served.
    """
    models = URGENT + RARE[:6]
    weights = [(i + 1) ** -0.9 for i in range(len(models))]
    load = placement_load.PlacementLoad(9, URGENT, RARE[:6], seed=seed)
    await load.run(
        lambda elapsed_s: [(placement_load.CHAT, models, weights, 58.0)],
        DAY_S,
        limited,
    )
    records = load.records.values()
    never = sum(r.is_asked_through and not r.served for r in records)
    return sum(r.served for r in records), never


class PlacementLoadTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_models_that_outnumber_the_places_are_all_served(self):
        # Where models outnumber the places on the engines, rarely requested
        # ones were never served: the loads from the weight store went to
        # models with equal demand in the order of their names.
        load = placement_load.PlacementLoad(15, URGENT, RARE, seed=4)
        await load.run(traffic, 30.0)
        through = [r for r in load.records.values() if r.is_asked_through]
        never = sum(not record.served for record in through)
        self.assertLessEqual(never, 1 + len(through) // 10)
        busy = [load.records[name] for name in URGENT[:12]]
        asked = sum(len(record.asked_at) for record in busy)
        self.assertGreater(sum(r.on_time for r in busy), 0.97 * asked)
        self.assertLessEqual(
            load.engines.peak_mb, placement_load.ENGINE_MEMORY_MB
        )

    @virtual_time.run_without_io
    async def test_models_of_engines_with_a_limit_are_served_elsewhere(self):
        # Incident 005, at the rates of that day: three of nine engines take
        # 1.6 requests a second. The others serve at least their share of what
        # all serve without limits, besides what the three take, and no more
        # models than the users' gate allows are never served.
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                served, _ = await serve_day(seed, ())
                limited = ('e0', 'e1', 'e2')
                served_with_limits, never = await serve_day(
                    seed, (limited, 1.6, LIMITED_FROM_S)
                )
                taken = 3 * 1.6 * (DAY_S - LIMITED_FROM_S)
                expected = served * 6 / 9 + taken
                self.assertGreaterEqual(served_with_limits, expected)
                self.assertLessEqual(never, 1 + 31 // 10)
