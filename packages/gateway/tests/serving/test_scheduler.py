import unittest

import anyio
import anyio.lowlevel
from wagtailtide_gateway.decisions import admission
from wagtailtide_testing import virtual_time

from tests.serving import recorded_decisions
from tests.serving import scheduling_fleet

# Deadline of the requests of the replay in seconds.
DEADLINE_S = 4.0

# Share of what the engines can start that a burst at few instances gets. The
# rest is for load data that is an exchange interval old.
BURST_SHARE = 0.9

# An instance knows of the others' requests after their reports and its own
# update, each up to an interval of 124 instances old.
INFORMED_S = 2 * 124 / 120


class SwitchedOffTest(unittest.TestCase):
    def test_decisions_are_those_of_earlier_builds(self):
        self.assertEqual(
            recorded_decisions.digest(), recorded_decisions.DIGEST
        )

    @virtual_time.run_without_io
    async def test_nothing_is_exchanged(self):
        fleet = scheduling_fleet.Fleet(size=2, schedules_shares=False)
        shared = fleet.instances[0].shared
        self.assertIsNone(shared.scheduler)
        self.assertEqual(shared.sections.make_report(), {})


class BurstAtFewInstancesTest(unittest.TestCase):
    """A burst of 600 requests that arrives at 4 of 124 instances."""

    async def run_burst(self, schedules_shares=True, older=0, fail=None):
        fleet = scheduling_fleet.Fleet(
            schedules_shares=schedules_shares, older=older
        )
        async with fleet.running() as requests:
            await fleet.arrivals(requests, 'note', 60, 3)
            burst_at = anyio.current_time()
            requests.start_soon(fleet.arrivals, requests, 'note', 30, 6)
            for number in range(600):
                requests.start_soon(fleet.request, 'note', 60 + number % 4)
            if fail is not None:
                requests.start_soon(fail, fleet)
            await anyio.sleep(6)
        burst = [x for x in fleet.outcomes if x.arrived_at == burst_at]
        running = 60 * scheduling_fleet.CLASSES['note'][2]
        possible = (fleet.capacity_per_s - 30) * DEADLINE_S - running
        return burst, possible

    @virtual_time.run_without_io
    async def test_what_can_run_before_the_deadline_does(self):
        # Guards against an instance that takes its own burst for that of each
        # of the 124 instances and rejects requests that could be served.
        burst, possible = await self.run_burst()
        served = sum(
            x.first_event_s is not None and x.first_event_s <= DEADLINE_S
            for x in burst
        )
        self.assertGreaterEqual(served, BURST_SHARE * possible)

    @virtual_time.run_without_io
    async def test_others_are_rejected_as_soon_as_it_is_known(self):
        burst, _ = await self.run_burst()
        rejected = [x.rejected_s for x in burst if x.rejected_s is not None]
        self.assertTrue(rejected)
        self.assertLessEqual(max(rejected), INFORMED_S)

    @virtual_time.run_without_io
    async def test_older_builds_do_not_cost_the_newer_ones_their_burst(self):
        # Half of the instances send no section.
        burst, possible = await self.run_burst(older=60)
        served = sum(
            x.first_event_s is not None and x.first_event_s <= DEADLINE_S
            for x in burst
        )
        self.assertGreaterEqual(served, BURST_SHARE * possible)

    async def assert_burst_is_served(self, fail):
        burst, possible = await self.run_burst(fail=fail)
        served = sum(
            x.first_event_s is not None and x.first_event_s <= DEADLINE_S
            for x in burst
        )
        self.assertGreaterEqual(served, BURST_SHARE * possible)

    @virtual_time.run_without_io
    async def test_leader_lost_in_the_burst(self):
        # Guards against a new leader's first sums, which lack most instances,
        # being taken for those of all.
        async def lose_leader(fleet):
            await anyio.sleep(0.5)
            fleet.has_leader = False
            await anyio.sleep(1.5)
            fleet.replace_leader()

        await self.assert_burst_is_served(lose_leader)

    @virtual_time.run_without_io
    async def test_instance_cut_off_from_the_leader(self):
        # Guards against the others counting for ever what it last reported.
        async def cut_off(fleet):
            await anyio.sleep(0.3)
            fleet.instances[61].is_cut_off = True

        await self.assert_burst_is_served(cut_off)

    @virtual_time.run_without_io
    async def test_lost_reports(self):
        # Guards against sums that drift with each exchange that fails.
        async def lose_reports(fleet):
            fleet.lost_reports = 0.3
            await anyio.lowlevel.checkpoint()

        await self.assert_burst_is_served(lose_reports)


class HeavyOrganisationTest(unittest.TestCase):
    """15 organisations at their usual rate, one at seven times this rate.

    The others together need 0.7 of the capacity, so all of their requests can
    be served before the deadline.
    """

    async def assert_others_are_served(self, size):
        fleet = scheduling_fleet.Fleet(size=size)
        async with fleet.running() as requests:
            for number in range(16):
                requests.start_soon(
                    fleet.arrivals,
                    requests,
                    'note',
                    5.0,
                    14,
                    None,
                    f'org-{number}',
                )
            await anyio.sleep(4)
            begin = anyio.current_time()
            await fleet.arrivals(requests, 'note', 30, 8, None, 'org-0')
        others = [
            x.first_event_s is not None and x.first_event_s <= DEADLINE_S
            for x in fleet.outcomes
            if x.arrived_at > begin and x.organisation != 'org-0'
        ]
        self.assertGreaterEqual(sum(others), BURST_SHARE * len(others))

    @virtual_time.run_without_io
    async def test_others_are_served_by_12_instances(self):
        await self.assert_others_are_served(12)

    @virtual_time.run_without_io
    async def test_others_are_served_by_124_instances(self):
        await self.assert_others_are_served(124)


class BacklogTest(unittest.TestCase):
    """Backlog at 3.5 times its usual rate, during a burst of urgent requests.

    The urgent requests need 0.75 of the capacity, so all of them can be served
    before the deadline.
    """

    async def assert_urgent_are_served(self, size):
        fleet = scheduling_fleet.Fleet(size=size)
        async with fleet.running() as requests:
            requests.start_soon(fleet.arrivals, requests, 'urgent', 40.0, 14)
            requests.start_soon(fleet.arrivals, requests, 'backlog', 70.0, 14)
            await anyio.sleep(4)
            begin = anyio.current_time()
            await fleet.arrivals(requests, 'urgent', 40, 8)
        rows = {'urgent': [], 'backlog': []}
        for outcome in fleet.outcomes:
            if outcome.arrived_at > begin:
                rows[outcome.kind].append(
                    outcome.first_event_s is not None
                    and outcome.first_event_s <= DEADLINE_S
                )
        shares = {kind: sum(row) / len(row) for kind, row in rows.items()}
        self.assertGreaterEqual(shares['urgent'], BURST_SHARE)
        self.assertGreater(shares['backlog'], 0.0)

    @virtual_time.run_without_io
    async def test_urgent_requests_are_served_by_12_instances(self):
        await self.assert_urgent_are_served(12)

    @virtual_time.run_without_io
    async def test_urgent_requests_are_served_by_124_instances(self):
        await self.assert_urgent_are_served(124)


class TurnTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_request_behind_another_wakes_it(self):
        # Guards against a request at its deadline that checks again at once,
        # without end, because a server is free for the one before it.
        fleet = scheduling_fleet.Fleet(size=2)
        scheduler = fleet.instances[0].shared.scheduler
        first, second = (
            fleet.make_job('note', 'club', first_byte_due_at=0.0)
            for _ in range(2)
        )
        waiters = [scheduler.join(job, 1.0, 2) for job in (first, second)]
        pool = admission.ServerPool(96.0, 0.0, 0, 2, 0.9)
        free = scheduler.take(first, waiters[0], 'server')
        self.assertEqual(free, 'server')
        self.assertIsNone(scheduler.take(second, waiters[1], 'server'))
        decision = admission.decide(pool, False, 0.0)
        self.assertIs(decision.verdict, admission.Verdict.REFUSE)
        self.assertTrue(waiters[0].wake_event.is_set())
