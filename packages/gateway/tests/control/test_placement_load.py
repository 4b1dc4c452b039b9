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
