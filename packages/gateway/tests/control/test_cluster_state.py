import dataclasses
import types
import unittest

import anyio
from wagtailtide_gateway.control import cluster_state
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.control import server_state
from wagtailtide_testing import virtual_time

from tests import builders
from tests.control import leader_fixture


class FakeLeadership:
    fence = 1


class FakeServers:
    entry_number = 0

    def __init__(self):
        self.states = {}

    def age_s(self, now):
        return 0.0

    def software_versions(self, now):
        return ()

    def knows_all_versions(self, now):
        return True

    def has_several_versions(self, now):
        return False

    def changed_entries(self, number, known):
        return {'s1': None}


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
    async def test_servers_stay_in_use_if_many_instances_are_cut_off(self):
        # Incident 009: two of three instances reach no server.
        cluster = make_cluster()
        cluster._servers.states = {
            name: server_state.ServerState(builders.make_server(name))
            for name in ('s1', 's2')
        }
        for name in ('front-1', 'front-2'):
            cluster.handle_report(
                builders.make_report(name, unreachable=('s1', 's2'))
            )
        cluster.handle_report(builders.make_report('front-3'))
        self.assertFalse(cluster.is_unreachable('s1'))
        await anyio.sleep(1.0)
        update = cluster.handle_report(
            builders.make_report('front-1', unreachable=('s1', 's2'))
        )
        self.assertEqual([p.instance for p in update.peers], ['front-3'])

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
    async def test_urgent_update_contains_no_entries(self):
        # Guards against sending changed entries, which are applied with the
        # next full update, again with each draw on a rate.
        cluster = make_cluster()
        urgent = cluster.handle_report(builders.make_report(urgent=True))
        full = cluster.handle_report(builders.make_report())
        self.assertEqual((urgent.entries, full.entries), ({}, {'s1': None}))

    @virtual_time.run_without_io
    async def test_crash_is_not_repeated_in_all_updates(self):
        # Guards against updates that grow with each crash of the day until
        # they fill the leader's link.
        cluster = make_cluster()
        cluster.publish('s1', builders.make_residency(['m1']))
        crash = messages.CrashReport('abc', 's1', '17', 0.0)
        cluster.handle_report(builders.make_report(crashes=(crash,)))
        seen = {'seen_residency_number': 1}
        first = cluster.handle_report(builders.make_report('front-2', **seen))
        await anyio.sleep(cluster_state.CRASH_REPEAT_S)
        later = cluster.handle_report(builders.make_report('front-2', **seen))
        new = cluster.handle_report(builders.make_report('front-3'))
        older = dataclasses.replace(crash, age_s=cluster_state.CRASH_REPEAT_S)
        self.assertEqual(
            (first.crashes, later.crashes, new.crashes),
            ((crash,), (), (older,)),
        )

    @virtual_time.run_without_io
    async def test_server_that_told_one_instance_that_it_leaves_is_left(self):
        cluster = make_cluster()
        server = builders.make_server('s1')
        state = server_state.ServerState(server)
        cluster._servers.states['s1'] = state
        started_ms = server.residency.process_start_ms
        earlier = {'leaving': {'s1': started_ms - 1, 's9': 1}}
        update = cluster.handle_report(builders.make_report(**earlier))
        self.assertEqual(update.leaving, ())
        now = {'leaving': {'s1': started_ms}}
        update = cluster.handle_report(builders.make_report(**now))
        self.assertEqual(update.leaving, ('s1',))

    @virtual_time.run_without_io
    async def test_what_was_proved_is_no_longer_suspect_anywhere(self):
        cluster = make_cluster()
        crash = messages.CrashReport('part:1', 's1', '17', 0.0)
        cluster.handle_report(builders.make_report(crashes=(crash,)))
        update = cluster.handle_report(
            builders.make_report('front-2', proved=('part:1',))
        )
        self.assertEqual((update.crashes, update.proved), ((), ('part:1',)))
        self.assertEqual(cluster.summary().crashes, ())
        await anyio.sleep(cluster_state.CRASH_REPEAT_S)
        update = cluster.handle_report(builders.make_report('front-2'))
        self.assertEqual(update.proved, ())

    @virtual_time.run_without_io
    async def test_most_suspect_crashes_are_kept(self):
        # Guards against a part that crashed servers being forgotten for the
        # many requests that were in them by chance.
        cluster = make_cluster()
        suspect = tuple(
            messages.CrashReport('part:1', f's{number}', '17', 0.0)
            for number in range(3)
        )
        cluster.handle_report(builders.make_report(crashes=suspect))
        by_chance = tuple(
            messages.CrashReport(f'request-{number}', 's1', '17', 0.0)
            for number in range(cluster_state.MAX_CRASHES)
        )
        cluster.handle_report(builders.make_report(crashes=by_chance))
        stored = cluster.summary().crashes
        self.assertEqual(stored[:3], suspect)
        self.assertEqual(len(stored), cluster_state.MAX_STORED_CRASHES)

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

    @virtual_time.run_without_io
    async def test_new_leader_grants_rates_only_for_shares_handed_over(self):
        # Guards against a new leader that shares out the whole rate while
        # other instances, which do not reach it, use their shares.
        org = builders.make_organisation(rate_per_s=1_000.0, burst=1_000.0)
        config = FakeConfig()
        config.deployment = types.SimpleNamespace(
            organisations_by_name={'club': org}
        )
        cluster = make_cluster(config)
        cluster._leadership.fence = 2
        update = cluster.handle_report(builders.make_report(share=0.25))
        self.assertEqual((update.fence, update.share), (2, None))
        draws = {'club': 5_000.0}
        granted = 0.0
        for _ in range(8):
            await anyio.sleep(0.25)
            update = cluster.handle_report(
                builders.make_report(quota_fence=2, share=0.25, draws=draws)
            )
            granted += update.grants['club']
        self.assertEqual(update.share, 0.25)
        self.assertAlmostEqual(granted, 0.25 * 1_000 * 1.75, delta=1.0)

    @virtual_time.run_without_io
    async def test_restarted_instances_get_their_rate_back_at_once(self):
        # Guards against a fleet that restarts together and is refused its
        # rates until the shares of its old processes have expired.
        org = builders.make_organisation(rate_per_s=1_000.0, burst=1_000.0)
        config = FakeConfig()
        config.deployment = types.SimpleNamespace(
            organisations_by_name={'club': org}
        )
        cluster = make_cluster(config)
        cluster._leadership.fence = 7
        for fence in (0, 7):
            for name in ('front-1', 'front-2'):
                cluster.handle_report(
                    builders.make_report(name, quota_fence=fence, share=0.5)
                )
            await anyio.sleep(0.3)
        draws = {'club': 5_000.0}
        cluster.handle_report(builders.make_report(quota_fence=7, draws=draws))
        await anyio.sleep(1.0)
        update = cluster.handle_report(
            builders.make_report(quota_fence=7, draws=draws)
        )
        self.assertAlmostEqual(update.grants['club'], 1_000.0, delta=1.0)


class EvacuatedZoneTest(unittest.TestCase):
    def make_fixture(self):
        fixture = leader_fixture.LeaderFixture(
            builders.make_server('e1', zone='z1'),
            builders.make_server('e2', zone='z2'),
        )
        fixture.set_evacuated_zones('z1')
        return fixture

    @virtual_time.run_without_io
    async def test_its_servers_are_not_reported_as_leaving(self):
        # Guards against a zone that stays unused after its return, because an
        # instance that takes over the lead keeps what it was told.
        update = self.make_fixture().cluster.handle_report(
            builders.make_report()
        )
        self.assertEqual(update.leaving, ())

    @virtual_time.run_without_io
    async def test_instance_that_reaches_no_other_zone_is_cut_off(self):
        # Guards against servers that count as unreachable, so that nothing is
        # loaded on them, because some instances are cut off.
        fixture = self.make_fixture()
        for name in ('front-1', 'front-2'):
            fixture.cluster.handle_report(
                builders.make_report(name, unreachable=('e2',))
            )
        self.assertFalse(fixture.cluster.is_unreachable('e2'))
