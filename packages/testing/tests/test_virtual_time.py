import unittest

import anyio
from wagtailtide_testing import virtual_time


class VirtualTimeTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_a_long_sleep_advances_the_test_clock(self):
        started_at = anyio.current_time()
        await anyio.sleep(3600)
        self.assertGreaterEqual(anyio.current_time() - started_at, 3600)
