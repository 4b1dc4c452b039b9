import unittest

import anyio
from tests.control import fleet as fleets
from wagtailtide_testing import virtual_time


class ConfigInForceTest(unittest.TestCase):
    """Guards against a change that is not in force everywhere in 11 s."""

    @virtual_time.run_in_virtual_time
    async def test_a_change_is_in_force_on_all(self):
        async with fleets.running() as fleet:
            await fleet.all_at(fleet.write('second'))
