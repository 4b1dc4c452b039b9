import unittest

import anyio
from wagtailtide_testing import virtual_time

from tests.control import election_fixture

BOUND_S = 5.0

# Time in which the instances of a fleet elect a leader and hear of it.
ELECTION_S = 6.0

FLEETS = (12, 36, 124)


class Fleet:
    """Instances of which the first leads at the start.

    Attributes:
        store: The FakeStore.
        members: Member objects that run.
    """

    def __init__(self, count, bound_s=BOUND_S):
        self.store = election_fixture.FakeStore()
        self._network = election_fixture.FakeNetwork()
        self.members = [
            election_fixture.Member(
                f'front-{number}',
                self.store,
                self._network,
                evacuation_s=bound_s,
            )
            for number in range(count)
        ]
        self._scopes = {}

    async def start(self, tg):
        """Start all instances and wait until they have a leader."""
        for member in self.members:
            tg.start_soon(self._run, member)
            # The first one takes the lease.
            await anyio.sleep(0.01)
        await anyio.sleep(ELECTION_S)

    async def _run(self, member):
        with anyio.CancelScope() as self._scopes[member.name]:
            await member.run()

    @property
    def leader(self):
        """The member that leads."""
        (leader,) = [m for m in self.members if m.leadership.is_leader]
        return leader

    def kill(self, member):
        """Kill an instance."""
        self._scopes[member.name].cancel()
        self.members.remove(member)
        del self._network.instances[member.address]

    async def spread_s(self, zone, is_evacuated=True):
        """Return the seconds until all know whether a zone is evacuated."""
        started_at = anyio.current_time()
        while anyio.current_time() < started_at + 4 * BOUND_S:
            if all(
                m.evacuations.is_evacuated(zone) is is_evacuated
                for m in self.members
            ):
                break
            await anyio.sleep(0.01)
        return anyio.current_time() - started_at


class SpreadTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_all_instances_know_within_the_bound(self):
        for count in FLEETS:
            with self.subTest(count):
                fleet = Fleet(count)
                async with anyio.create_task_group() as tg:
                    await fleet.start(tg)
                    fleet.store.evacuate('z1')
                    elapsed_s = await fleet.spread_s('z1')
                    tg.cancel_scope.cancel()
                self.assertLess(elapsed_s, BOUND_S)

    @virtual_time.run_without_io
    async def test_loss_of_the_leader_keeps_the_bound(self):
        for count in FLEETS:
            with self.subTest(count):
                fleet = Fleet(count)
                async with anyio.create_task_group() as tg:
                    await fleet.start(tg)
                    fleet.kill(fleet.leader)
                    fleet.store.evacuate('z1')
                    elapsed_s = await fleet.spread_s('z1')
                    tg.cancel_scope.cancel()
                self.assertLess(elapsed_s, BOUND_S)

    @virtual_time.run_without_io
    async def test_lost_answers_keep_the_bound(self):
        # Up to two answers in a row are lost for each instance.
        for lost in (11, 22):
            with self.subTest(lost):
                fleet = Fleet(12)
                async with anyio.create_task_group() as tg:
                    await fleet.start(tg)
                    fleet.store.lost_lists = lost
                    fleet.kill(fleet.leader)
                    fleet.store.evacuate('z1')
                    elapsed_s = await fleet.spread_s('z1')
                    tg.cancel_scope.cancel()
                self.assertLess(elapsed_s, BOUND_S)

    @virtual_time.run_without_io
    async def test_leader_without_a_store_does_not_hold_others_back(self):
        # Guards against instances that trust a leader whose list is old. The
        # bound does not apply to the leader, which has no path to the store.
        fleet = Fleet(12)
        async with anyio.create_task_group() as tg:
            await fleet.start(tg)
            leader = fleet.leader
            fleet.members.remove(leader)
            fleet.store.down = {leader.name}
            fleet.store.evacuate('z1')
            elapsed_s = await fleet.spread_s('z1')
            tg.cancel_scope.cancel()
        self.assertLess(elapsed_s, BOUND_S)

    @virtual_time.run_without_io
    async def test_instance_without_a_store_hears_from_the_leader(self):
        fleet = Fleet(12)
        async with anyio.create_task_group() as tg:
            await fleet.start(tg)
            fleet.store.down = {
                m.name for m in fleet.members if m is not fleet.leader
            }
            fleet.store.evacuate('z1')
            elapsed_s = await fleet.spread_s('z1')
            tg.cancel_scope.cancel()
        self.assertLess(elapsed_s, BOUND_S)

    @virtual_time.run_without_io
    async def test_instance_that_starts_lists_the_zones_at_once(self):
        fleet = Fleet(1)
        fleet.store.evacuate('z1')
        async with anyio.create_task_group() as tg:
            tg.start_soon(fleet.members[0].run)
            await anyio.sleep(0.1)
            tg.cancel_scope.cancel()
        self.assertTrue(fleet.members[0].evacuations.is_evacuated('z1'))

    @virtual_time.run_without_io
    async def test_path_to_the_store_that_returns_is_used_within_4_s(self):
        # The bound counts again 4 s after an instance has its path back.
        fleet = Fleet(1)
        (member,) = fleet.members
        async with anyio.create_task_group() as tg:
            await fleet.start(tg)
            fleet.store.down = {member.name}
            await anyio.sleep(60.0)
            fleet.store.evacuate('z1')
            fleet.store.down = set()
            elapsed_s = await fleet.spread_s('z1')
            tg.cancel_scope.cancel()
        self.assertLess(elapsed_s, 4.0)


class OutageTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_zones_stay_evacuated_while_the_store_is_down(self):
        # Also across a change of the leader, and for hours.
        fleet = Fleet(12)
        async with anyio.create_task_group() as tg:
            await fleet.start(tg)
            fleet.store.evacuate('z1')
            fleet.store.evacuate('z2')
            await fleet.spread_s('z2')
            fleet.kill(fleet.leader)
            await anyio.sleep(ELECTION_S)
            self.assertTrue(fleet.leader.leadership.is_leader)
            fleet.store.down = {m.name for m in fleet.members}
            await anyio.sleep(120.0)
            for member in fleet.members:
                for zone in ('z1', 'z2'):
                    self.assertTrue(member.evacuations.is_evacuated(zone))
            tg.cancel_scope.cancel()

    @virtual_time.run_without_io
    async def test_instance_that_starts_without_a_store_is_told(self):
        # It does not know the zones until the leader tells it.
        fleet = Fleet(3)
        newcomer = fleet.members.pop()
        async with anyio.create_task_group() as tg:
            await fleet.start(tg)
            fleet.store.evacuate('z1')
            await fleet.spread_s('z1')
            fleet.store.down = {newcomer.name}
            newcomer.leadership.record = fleet.leader.leadership.record
            self.assertFalse(newcomer.evacuations.permits('z2'))
            tg.start_soon(newcomer.run)
            await anyio.sleep(2.0)
            self.assertTrue(newcomer.evacuations.is_evacuated('z1'))
            self.assertTrue(newcomer.evacuations.permits('z2'))
            tg.cancel_scope.cancel()


class CallsTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_only_the_leader_lists_while_it_is_heard(self):
        # Guards against a list a second from each instance of a large fleet.
        for count in FLEETS:
            with self.subTest(count):
                fleet = Fleet(count)
                async with anyio.create_task_group() as tg:
                    await fleet.start(tg)
                    leader = fleet.leader.name
                    fleet.store.lists.clear()
                    await anyio.sleep(20.0)
                    tg.cancel_scope.cancel()
                self.assertEqual(set(fleet.store.lists), {leader})
                self.assertLessEqual(fleet.store.lists[leader], 21)

    @virtual_time.run_without_io
    async def test_no_call_is_made_if_zones_cannot_be_evacuated(self):
        fleet = Fleet(3, bound_s=None)
        async with anyio.create_task_group() as tg:
            await fleet.start(tg)
            fleet.store.evacuate('z1')
            await anyio.sleep(10.0)
            tg.cancel_scope.cancel()
        self.assertEqual(fleet.store.lists, {})
        for member in fleet.members:
            self.assertTrue(member.evacuations.permits('z1'))

    @virtual_time.run_without_io
    async def test_store_outage_does_not_multiply_the_calls(self):
        # Refused calls count and cost like others.
        fleet = Fleet(1)
        (member,) = fleet.members
        async with anyio.create_task_group() as tg:
            await fleet.start(tg)
            fleet.store.down = {member.name}
            await anyio.sleep(20.0)
            fleet.store.lists.clear()
            await anyio.sleep(20.0)
            tg.cancel_scope.cancel()
        self.assertLessEqual(fleet.store.lists[member.name], 20)

    @virtual_time.run_without_io
    async def test_failures_are_logged_once(self):
        fleet = Fleet(1)
        (member,) = fleet.members
        logger = 'wagtailtide_gateway.control.evacuation_sync'
        async with anyio.create_task_group() as tg:
            await fleet.start(tg)
            with self.assertLogs(logger, 'INFO') as logs:
                fleet.store.down = {member.name}
                await anyio.sleep(20.0)
                fleet.store.down = set()
                await anyio.sleep(5.0)
            tg.cancel_scope.cancel()
        self.assertEqual(
            [r.getMessage() for r in logs.records],
            ['evacuations not listed', 'evacuations listed again'],
        )
