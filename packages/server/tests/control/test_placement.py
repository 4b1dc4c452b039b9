import unittest

import anyio
from wagtailtide_testing import virtual_time

from tests.control import placement_fleet as fleets


class PlacementTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_all_models_become_ready(self):
        settings = [fleets.strict_engine(), fleets.lax_engine()]
        fleet = fleets.Fleet(fleets.make_models(4), settings)
        async with fleet.running():
            for model in fleet.models:
                await fleet.wait_ready(model, 60)
            await anyio.sleep(60)
        self.assertEqual(fleet.overcommitted(), 0)
        self.assertEqual(fleet.violations(), set())


if __name__ == '__main__':
    unittest.main()
