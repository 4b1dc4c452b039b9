import unittest

import anyio
from wagtailtide_gateway.control import cluster_state
from wagtailtide_gateway.control import messages
from wagtailtide_testing import virtual_time

from tests import builders


class FakeLeadership:
    fence = 1


class FakeServers:
    entry_number = 0

    def __init__(self):
        self.states = {}

    def age_s(self, now):
        return 0.0

    def changed_entries(self, number, known):
        return {}


class FakeConfig:
    deployment = None
    version = 0
    age_s = 0.0
    value = None


def make_cluster(config=None):
    return cluster_state.ClusterState(
        config or FakeConfig(), FakeServers(), FakeLeadership()
    )


def unserved(cluster):
    """Return the unserved requests for m1 and the seconds since the first."""
    use = cluster.usage_by_model('engines', anyio.current_time())['m1']
    return use.unserved, round(use.unserved_s, 3)


class ClusterStateTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_update_contains_the_load_of_other_instances_only(self):
        cluster = make_cluster()
        cluster.handle_report(builders.make_report('front-1', loads={'s1': 3}))
        update = cluster.handle_report(
            builders.make_report('front-2', loads={'s1': 5})
        )
        self.assertEqual((update.loads, update.instances), ({'s1': 3}, 2))

    @virtual_time.run_without_io
    async def test_silent_instance_is_removed_with_its_load(self):
        # Guards against counting the load of a killed instance for ever.
        cluster = make_cluster()
        cluster.handle_report(builders.make_report('front-1', loads={'s1': 3}))
        await anyio.sleep(cluster_state.INSTANCE_TIMEOUT_S + 0.1)
        update = cluster.handle_report(builders.make_report('front-2'))
        self.assertEqual((update.loads, update.instances), ({}, 1))

    @virtual_time.run_without_io
    async def test_residency_is_sent_once_to_each_instance(self):
        cluster = make_cluster()
        first = cluster.handle_report(builders.make_report())
        cluster.publish('s1', builders.make_residency(['m1']))
        second = cluster.handle_report(
            builders.make_report(seen_residency_number=first.residency_number)
        )
        third = cluster.handle_report(
            builders.make_report(seen_residency_number=second.residency_number)
        )
        self.assertEqual(list(second.residencies), ['s1'])
        self.assertEqual(third.residencies, {})

    @virtual_time.run_without_io
    async def test_server_unreachable_from_one_instance_only_stays_in_use(
        self,
    ):
        # Guards against loads on all other engines when one instance is cut
        # off.
        cluster = make_cluster()
        cluster.handle_report(
            builders.make_report('front-1', unreachable=('s1',))
        )
        cluster.handle_report(builders.make_report('front-2', loads={'s1': 4}))
        self.assertFalse(cluster.is_unreachable('s1'))
        cluster.handle_report(
            builders.make_report('front-3', unreachable=('s1',))
        )
        self.assertTrue(cluster.is_unreachable('s1'))

    @virtual_time.run_without_io
    async def test_demand_includes_refused_requests(self):
        # Guards against a model that is never loaded because its requests are
        # refused instead of waiting.
        cluster = make_cluster()
        row = messages.ModelDemand('engines', 'm1', 6, 0, 0, 0.4)
        for _ in range(20):
            cluster.handle_report(builders.make_report(demand=(row,)))
            await anyio.sleep(0.25)
            cluster.update_rates(0.25)
        now = anyio.current_time()
        usage = cluster.usage_by_model('engines', now)['m1']
        self.assertAlmostEqual(usage.rate_per_s, 24.0, delta=3.0)

    @virtual_time.run_without_io
    async def test_unserved_requests_are_counted_until_a_model_serves(self):
        cluster = make_cluster()
        row = messages.ModelDemand('engines', 'm1', 2, 0, 1, 5.0)
        for _ in range(3):
            cluster.handle_report(builders.make_report(demand=(row,)))
            await anyio.sleep(4.0)
        self.assertEqual((6, 12.0), unserved(cluster))
        cluster.note_serving('engines', ['m1', 'm2'])
        self.assertEqual((0, 0.0), unserved(cluster))

    @virtual_time.run_without_io
    async def test_unserved_requests_of_long_ago_do_not_count(self):
        # Guards against a model that is asked for once an hour and then goes
        # before all others.
        cluster = make_cluster()
        row = messages.ModelDemand('engines', 'm1', 2, 0, 0, 5.0)
        cluster.handle_report(builders.make_report(demand=(row,)))
        await anyio.sleep(cluster_state.UNSERVED_TTL_S + 0.1)
        cluster.handle_report(builders.make_report(demand=(row,)))
        await anyio.sleep(1.0)
        self.assertEqual((2, 1.0), unserved(cluster))

    @virtual_time.run_without_io
    async def test_repeated_adapter_request_counts_once(self):
        cluster = make_cluster()
        row = messages.ModelDemand('engines', 'm1', 2, 0, 0, 0.4)
        cluster.handle_report(builders.make_report(demand=(row,)))
        request = messages.AdapterRequest('engines', 'm1', 'a1')
        for _ in range(40):
            for _ in range(3):
                cluster.handle_report(
                    builders.make_report(adapters=(request,))
                )
            await anyio.sleep(0.25)
            cluster.update_rates(0.25)
            del cluster.adapter_requests[request]
        use = cluster.usage_by_model('engines', anyio.current_time())['m1']
        self.assertAlmostEqual(4.0, use.adapter_misses_per_s, delta=0.1)

    @virtual_time.run_without_io
    async def test_new_term_starts_without_reports(self):
        cluster = make_cluster()
        cluster.handle_report(builders.make_report(loads={'s1': 3}))
        cluster._leadership.fence = 2
        update = cluster.handle_report(builders.make_report('front-2'))
        self.assertEqual(update.loads, {})

    @virtual_time.run_without_io
    async def test_urgent_report_keeps_the_load(self):
        # Guards against losing the load whenever an instance draws from a
        # rate.
        cluster = make_cluster()
        cluster.handle_report(builders.make_report('front-1', loads={'s1': 3}))
        cluster.handle_report(builders.make_report('front-1', urgent=True))
        self.assertEqual(cluster.load_of('s1'), 3)
