import types
import unittest

import anyio
import cbor2
from wagtailtide_gateway import shared_state
from wagtailtide_gateway.control import class_loads
from wagtailtide_gateway.control import sections
from wagtailtide_testing import virtual_time

from tests.serving import scheduling_fleet

# Deadlines of the classes in seconds, as on the page.
DEADLINES_S = {'urgent': 12.3, 'note': 3.1, 'backlog': 15.0}

# Share of what is possible that urgent requests get in time. The rest is for
# load data that is an exchange interval old.
URGENT_SHARE = 0.9

# A class must be served at least this often, relative to all requests.
LEAST_RATIO = 0.25


def is_served(outcome):
    """Return whether a request got its first event before the deadline."""
    return (
        outcome.first_event_s is not None
        and outcome.first_event_s <= DEADLINES_S[outcome.kind]
    )


def share(outcomes, is_good):
    """Return the share of some outcomes that are good."""
    return sum(map(is_good, outcomes)) / len(outcomes)


class UrgentBesideBacklogTest(unittest.TestCase):
    """Urgent requests beside backlog at 3.5 times its usual rate of 20/s.

    The urgent requests need 0.75 of the capacity of 106.7 requests a second
    in the burst, so all of them can be in time.
    """

    async def run_burst(self, size, fail=None, urgent_per_s=40.0, **changes):
        fleet = scheduling_fleet.Fleet(
            size=size, deadlines_s=DEADLINES_S, **changes
        )
        async with fleet.running() as requests:
            requests.start_soon(fleet.arrivals, requests, 'urgent', 40.0, 14)
            requests.start_soon(fleet.arrivals, requests, 'backlog', 70.0, 14)
            await anyio.sleep(4)
            begin = anyio.current_time()
            if fail is not None:
                requests.start_soon(fail, fleet)
            await fleet.arrivals(requests, 'urgent', urgent_per_s, 8)
            until = anyio.current_time()
        rows = {'urgent': [], 'backlog': []}
        for outcome in fleet.outcomes:
            if begin < outcome.arrived_at <= until:
                rows[outcome.kind].append(outcome)
        return rows, fleet

    def assert_in_time(self, rows, possible=1.0):
        in_time = share(rows['urgent'], lambda x: x.in_time)
        self.assertGreaterEqual(in_time, URGENT_SHARE * possible)

    def assert_not_starved(self, rows):
        served = {kind: share(row, is_served) for kind, row in rows.items()}
        every = share([*rows['urgent'], *rows['backlog']], is_served)
        self.assertGreaterEqual(served['backlog'], LEAST_RATIO * every)
        self.assertGreaterEqual(served['urgent'], served['backlog'])

    async def assert_classes(self, size, fail=None, **changes):
        rows, _ = await self.run_burst(size, fail, **changes)
        self.assert_in_time(rows)
        self.assert_not_starved(rows)

    @virtual_time.run_without_io
    async def test_12_instances(self):
        await self.assert_classes(12)

    @virtual_time.run_without_io
    async def test_36_instances(self):
        await self.assert_classes(36)

    @virtual_time.run_without_io
    async def test_124_instances(self):
        # Guards against urgent requests that wait in an instance for slots
        # which the engine would take from less urgent ones.
        await self.assert_classes(124)

    @virtual_time.run_without_io
    async def test_leader_lost_in_the_burst(self):
        # Guards against loads by priority that are used when they are old,
        # and against a new leader's first sums, which lack most instances.
        async def lose_leader(fleet):
            await anyio.sleep(2.0)
            fleet.has_leader = False
            await anyio.sleep(2.0)
            fleet.replace_leader()

        for size in (12, 124):
            with self.subTest(size=size):
                await self.assert_classes(size, lose_leader)

    @virtual_time.run_without_io
    async def test_half_of_the_instances_are_of_an_older_build(self):
        # Those of the newer build still serve their urgent requests in time,
        # although the requests of the older ones count as urgent.
        for size in (12, 124):
            with self.subTest(size=size):
                rows, _ = await self.run_burst(size, older=size // 2)
                self.assert_in_time(
                    {
                        'urgent': [
                            x
                            for x in rows['urgent']
                            if x.instance >= size // 2
                        ]
                    }
                )
                self.assert_not_starved(rows)

    @virtual_time.run_without_io
    async def test_instance_cut_off_from_the_leader(self):
        async def cut_off(fleet):
            await anyio.sleep(1.0)
            fleet.instances[5].is_cut_off = True

        for size in (12, 124):
            with self.subTest(size=size):
                await self.assert_classes(size, cut_off)

    @virtual_time.run_without_io
    async def test_backlog_is_served_while_urgent_requests_need_all(self):
        # 130 urgent requests a second are more than the engines can run.
        for size in (12, 36, 124):
            with self.subTest(size=size):
                rows, _ = await self.run_burst(size, urgent_per_s=90.0)
                self.assert_not_starved(rows)

    @virtual_time.run_without_io
    async def test_requests_in_an_engine_stay_within_the_stated_multiple(self):
        # Guards against an engine whose memory the requests of all classes
        # together exceed. Loads are an exchange interval of 0.1 s old.
        _, fleet = await self.run_burst(12)
        most = max(engine.most for engine in fleet.engines.values())
        self.assertLessEqual(most, 2.5 * fleet.slots)


class SwitchedOffTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_shares_alone_exchange_no_loads_by_priority(self):
        # Guards against other decisions where only the order is by shares.
        port = types.SimpleNamespace(decode_config=None, decode_server=None)
        shared = shared_state.SharedState(port, None, schedules_shares=True)
        self.assertIsNone(shared.class_shares)
        self.assertNotIn(
            sections.Number.CLASS_LOADS, shared.sections.make_report()
        )


class NotKnownTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_unknown_loads_by_priority_count_as_urgent(self):
        fleet = scheduling_fleet.Fleet(size=2, engines=1)
        instance = fleet.instances[0]
        job = fleet.make_job('urgent', 'club')
        state = instance.shared.servers.states['s0']
        state.others_load = 14
        shares = instance.shared.class_shares
        found = []
        for value in (None, {'s0': [2, 10]}):
            shares.loads.section().apply(value, anyio.current_time())
            found.append(instance.finder.has_free_server(job))
        await anyio.sleep(class_loads.LOADS_TTL_S + 0.1)
        found.append(instance.finder.has_free_server(job))
        self.assertEqual(found, [False, True, False])

    @virtual_time.run_without_io
    async def test_models_that_do_not_exist_are_not_remembered(self):
        # Guards against memory and reports that grow with the names that
        # callers ask for.
        fleet = scheduling_fleet.Fleet(size=2, engines=1)
        instance = fleet.instances[0]
        scheduler = instance.shared.scheduler
        instance.shared.class_shares.loads.section().apply(
            {'s0': [2, 10]}, anyio.current_time()
        )
        before = len(cbor2.dumps(instance.shared.sections.make_report()))
        for number in range(100):
            job = fleet.make_job('urgent', 'club')
            job.req.model = f'none-{number}'
            scheduler.record_arrival(job)
            instance.finder.has_free_server(job)
        after = len(cbor2.dumps(instance.shared.sections.make_report()))
        self.assertEqual(after, before)
        self.assertEqual(instance.shared.class_shares.model_count, 0)

    @virtual_time.run_without_io
    async def test_plain_services_do_not_know_priorities(self):
        fleet = scheduling_fleet.Fleet(size=2, engines=1)
        instance = fleet.instances[0]
        job = fleet.make_job('urgent', 'club', is_plain=True)
        state = instance.shared.servers.states['s0']
        state.others_load = 20
        loads = instance.shared.class_shares.loads
        loads.section().apply({'s0': [2, 16]}, anyio.current_time())
        self.assertFalse(instance.finder.has_free_server(job))
