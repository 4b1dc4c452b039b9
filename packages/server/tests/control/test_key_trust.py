import unittest

import anyio
from wagtailtide_testing import virtual_time

from tests.control import fleet as fleets


def accepts_key(inst):
    """Return whether a request with key k1 would be admitted."""
    if not inst.trust().trusted:
        return False
    return not inst.plane.config.catalog.keys['k1'].key.withdrawn


class WithdrawnKeyTest(unittest.TestCase):
    """Guards against a key that works for long after its withdrawal."""

    async def stopped_on(self, fleet, inst, within_s):
        return await fleet.until(lambda: not accepts_key(inst), within_s)

    @virtual_time.run_in_virtual_time
    async def test_it_stops_on_all_in_normal_operation(self):
        async with fleets.running() as fleet:
            self.assertTrue(all(map(accepts_key, fleet.instances)))
            fleet.write('second', withdrawn=True)
            for inst in fleet.instances:
                await self.stopped_on(fleet, inst, 3)

    @virtual_time.run_in_virtual_time
    async def test_it_stops_on_an_instance_without_the_platform(self):
        async with fleets.running() as fleet:
            fleet.instances[2].offline = True
            await anyio.sleep(5)
            fleet.write('second', withdrawn=True)
            await self.stopped_on(fleet, fleet.instances[2], 5)

    @virtual_time.run_in_virtual_time
    async def test_it_stops_on_an_isolated_instance_in_10_s(self):
        async with fleets.running() as fleet:
            inst = fleet.instances[2]
            fleet.isolate(inst)
            await fleet.take_offline(inst)
            fleet.write('second', withdrawn=True)
            await self.stopped_on(fleet, inst, 10.5)
            await anyio.sleep(5)
            self.assertFalse(accepts_key(inst))
            self.assertTrue(fleet.instances[0].trust().trusted)

    @virtual_time.run_in_virtual_time
    async def test_it_stops_in_a_region_cut_off_with_the_store_elsewhere(
        self,
    ):
        # Two instances without the store reach each other, but not the
        # instance in the third zone.
        async with fleets.running() as fleet:
            fleet.isolate(fleet.instances[2])
            await fleet.take_offline(*fleet.instances[:2])
            fleet.write('second', withdrawn=True)
            await anyio.sleep(20)
            self.assertTrue(accepts_key(fleet.instances[0]))
            await self.stopped_on(fleet, fleet.instances[0], 12)
            await anyio.sleep(10)
            self.assertFalse(accepts_key(fleet.instances[0]))

    @virtual_time.run_in_virtual_time
    async def test_keys_stay_valid_through_a_long_outage(self):
        for outage in ('503', 'hang'):
            async with fleets.running() as fleet:
                fleet.platform.set_faults(outage=outage)
                for _ in range(4):
                    await anyio.sleep(10)
                    for inst in fleet.instances:
                        self.assertTrue(accepts_key(inst), inst.trust())
                reasons = {i.trust().reason for i in fleet.instances}
                self.assertEqual(reasons, {'store_outage'})
                fleet.platform.set_faults(outage='')
                fleet.write('second', withdrawn=True)
                for inst in fleet.instances:
                    await self.stopped_on(fleet, inst, 11)
