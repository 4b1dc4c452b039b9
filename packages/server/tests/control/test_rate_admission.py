"""The rate bound holds while instances and the store fail."""

import unittest

import anyio
from wagtailtide_core.leases import roster

from tests.control import slot_fleet

HOUR_S = 3600.0


class RateAdmissionTest(unittest.TestCase):
    def check_bound(self, fleet):
        self.assertLessEqual(fleet.excess(), 1e-6)

    @slot_fleet.run_for_hours
    async def test_bound_holds_while_an_instance_joins(self):
        async with slot_fleet.started('a', 'b') as fleet:
            self.assertEqual(sum(fleet.held()), 1024)
            await fleet.start('c')
            for _ in range(30):
                await anyio.sleep(3)
                await fleet.spend_all()
            self.assertEqual(sum(fleet.held()), 1024)
            self.assertLessEqual(max(fleet.held()) - min(fleet.held()), 2)
            self.check_bound(fleet)

    @slot_fleet.run_for_hours
    async def test_slots_of_a_dead_instance_are_taken_after_its_horizon(self):
        async with slot_fleet.started('a', 'b', 'c') as fleet:
            fleet.stop('c')
            await anyio.sleep(3.9 * HOUR_S)
            self.assertLess(sum(fleet.held()), 1024)
            await anyio.sleep(0.4 * HOUR_S)
            self.assertEqual(sum(fleet.held()), 1024)
            await fleet.spend_all()
            self.check_bound(fleet)

    @slot_fleet.run_for_hours
    async def test_instance_paused_past_its_horizon_spends_nothing(self):
        async with slot_fleet.started('a', 'b', 'c') as fleet:
            paused = fleet.stop('c')
            await anyio.sleep(4.3 * HOUR_S)
            await fleet.spend_all()
            await fleet.spend(paused)
            self.check_bound(fleet)
            await fleet.resume(paused)
            await anyio.sleep(90)
            self.assertGreater(len(paused.rate_admission.limiter.held), 300)
            await fleet.spend_all()
            self.check_bound(fleet)

    @slot_fleet.run_for_hours
    async def test_store_outage_of_an_hour_costs_nothing(self):
        async with slot_fleet.started('a', 'b', 'c') as fleet:
            fleet.state.set_faults(outage='503')
            await anyio.sleep(HOUR_S)
            self.assertEqual(sum(fleet.held()), 1024)
            self.assertGreater(await fleet.spend_all(), 1100)
            self.check_bound(fleet)

    @slot_fleet.run_for_hours
    async def test_lost_answers_to_roster_writes_leave_one_holder(self):
        async with slot_fleet.started('a', 'b') as fleet:
            fleet.state.set_faults(lose_answers=4)
            await fleet.start('c')
            for _ in range(40):
                await anyio.sleep(3)
                await fleet.spend_all()
                self.assertLessEqual(sum(fleet.held()), 1024)
            self.assertEqual(sum(fleet.held()), 1024)
            self.check_bound(fleet)

    @slot_fleet.run_for_hours
    async def test_one_instance_gets_the_rate_through_grants(self):
        async with slot_fleet.started('a', 'b', 'c') as fleet:
            instance = fleet.running['a']
            spent = 0
            for _ in range(200):
                await anyio.sleep(0.5)
                spent += await fleet.spend(instance, 30, most=1)
            self.assertGreaterEqual(spent, 0.99 * 6000)
            self.check_bound(fleet)

    @slot_fleet.run_for_hours
    async def test_graceful_leave_frees_the_slots_at_once(self):
        async with slot_fleet.started('a', 'b', 'c') as fleet:
            leaving = fleet.stop('c')
            await leaving.rate_admission.leave()
            self.assertFalse(leaving.rate_admission.limiter.held)
            await fleet.spend_all()
            await fleet.spend(leaving)
            await anyio.sleep(90)
            self.assertEqual(sum(fleet.held()), 1024)
            await fleet.spend_all()
            self.check_bound(fleet)

    @slot_fleet.run_for_hours
    async def test_slots_given_up_by_a_lost_write_are_not_used(self):
        async with slot_fleet.started('a', 'b') as fleet:
            giver = fleet.stop('a')
            fleet.running.update(a=giver, c=fleet.stop('b'))
            fleet.state.set_faults(lose_answers=1)
            await giver.rate_admission.keeper.tick()
            in_store = roster.Roster.decode(
                fleet.state.objects.get(roster.KEY).value
            )
            given = 1024 - len(in_store.slots_of(None)) - 512
            self.assertLess(given, 512)
            self.assertLessEqual(len(giver.rate_admission.limiter.held), given)

    @slot_fleet.run_for_hours
    async def test_lapsed_slots_count_only_after_they_are_claimed(self):
        async with slot_fleet.started('a') as fleet:
            paused = fleet.stop('a')
            await anyio.sleep(4.3 * HOUR_S)
            await paused.session.renew()
            for _ in range(2):
                paused.rate_admission.keeper.apply(anyio.current_time())
                paused.rate_admission.dump()
                await anyio.sleep(3)
            paused.rate_admission.keeper.apply(anyio.current_time())
            self.assertFalse(paused.rate_admission.limiter.held)
            await paused.rate_admission.keeper.tick()
            await anyio.sleep(3)
            paused.rate_admission.keeper.apply(anyio.current_time())
            self.assertEqual(len(paused.rate_admission.limiter.held), 1024)
