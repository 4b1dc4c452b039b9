import types
import unittest

import anyio
from wagtailtide_gateway.control import server_limits
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.decisions import server_limits as decisions
from wagtailtide_testing import virtual_time

from tests import builders


def make_states(*server_ids):
    return {
        id_: server_state.ServerState(builders.make_server(id_))
        for id_ in server_ids
    }


def make_update(limits=None, permits=None):
    return types.SimpleNamespace(limits=limits or {}, permits=permits or {})


def make_cluster(*server_ids):
    view = types.SimpleNamespace(states=make_states(*server_ids))
    return server_limits.ClusterLimits(view)


def limit_report(instance, per_s, age_s=0.0, **changes):
    limits = {'s1': server_limits.ReportedLimit(per_s, age_s)}
    return builders.make_report(instance, limits=limits, **changes)


class ClusterLimitsTest(unittest.TestCase):
    def test_limit_that_one_instance_reported_reaches_the_others(self):
        cluster = make_cluster('s1')
        cluster.receive(limit_report('front-1', 1.6), 10.0)
        other = builders.make_report('front-2')
        cluster.receive(other, 10.5)
        shared = cluster.shared_with(other, 10.5)
        self.assertEqual(
            shared, {'s1': server_limits.SharedLimit(1.6, 0.5, 0)}
        )

    def test_newest_statement_holds_whatever_the_order_of_reports(self):
        cluster = make_cluster('s1')
        cluster.receive(limit_report('front-1', None, age_s=0.1), 10.0)
        late = limit_report('front-2', 1.6, age_s=0.4)
        cluster.receive(late, 10.1)
        self.assertEqual(cluster.shared_with(late, 10.1), {})

    def test_waiting_requests_of_other_instances_are_counted(self):
        cluster = make_cluster('s1')
        first = limit_report('front-1', 1.6, permits={'s1': 3})
        second = limit_report('front-2', 1.6, permits={'s1': 2})
        cluster.receive(first, 10.0)
        cluster.receive(second, 10.1)
        shared = cluster.shared_with(first, 10.1)
        self.assertEqual(shared['s1'].others_waiting, 2)
        cluster.receive(limit_report('front-1', 1.6), 10.2)
        shared = cluster.shared_with(second, 10.2)
        self.assertEqual(shared['s1'].others_waiting, 0)

    def test_waiting_requests_of_a_silent_instance_are_forgotten(self):
        cluster = make_cluster('s1')
        cluster.receive(limit_report('gone', 1.6, permits={'s1': 9}), 10.0)
        late = limit_report('front-1', 1.6)
        now = 10.1 + server_limits.WAITING_TTL_S
        cluster.receive(late, now)
        self.assertEqual(
            cluster.shared_with(late, now)['s1'].others_waiting, 0
        )

    def test_limit_of_an_unlisted_server_is_kept_for_a_time(self):
        # Guards against a new leader that lifts all limits because it has no
        # list yet.
        cluster = make_cluster()
        report = limit_report('front-1', 1.6)
        cluster.receive(report, 10.0)
        self.assertIn('s1', cluster.shared_with(report, 10.0))
        later = 10.1 + server_limits.UNLISTED_TTL_S
        cluster.receive(builders.make_report('front-1'), later)
        self.assertEqual(cluster.shared_with(report, later), {})


class ApplyUpdateTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_limits_and_permits_are_applied(self):
        states, now = make_states('s1'), anyio.current_time()
        shared = {'s1': server_limits.SharedLimit(1.6, 0.2, 4)}
        server_limits.apply_update(
            states, make_update(shared, {'s1': 1}), True, now
        )
        limit = states['s1'].limit
        self.assertEqual((limit.per_s, limit.others_waiting), (1.6, 4))
        self.assertTrue(limit.allows(None, now))

    @virtual_time.run_without_io
    async def test_limit_that_a_full_update_lacks_is_lifted(self):
        states, now = make_states('s1'), anyio.current_time()
        states['s1'].limit.update(decisions.Statement(1.6, now - 1.0))
        server_limits.apply_update(states, make_update(), False, now)
        self.assertEqual(states['s1'].limit.per_s, 1.6)
        server_limits.apply_update(states, make_update(), True, now)
        self.assertIsNone(states['s1'].limit.per_s)

    @virtual_time.run_without_io
    async def test_limit_stated_after_the_report_is_kept(self):
        states, now = make_states('s1'), anyio.current_time()
        states['s1'].limit.update(decisions.Statement(1.6, now + 0.1))
        server_limits.apply_update(states, make_update(), True, now)
        self.assertEqual(states['s1'].limit.per_s, 1.6)

    @virtual_time.run_without_io
    async def test_own_statement_that_comes_back_does_not_hide_a_later_one(
        self,
    ):
        states, now = make_states('s1'), anyio.current_time()
        limit = states['s1'].limit
        limit.update(decisions.Statement(1.6, now - 0.1))
        reported = server_limits.limits_to_report(states, now)['s1']
        limit.update(decisions.Statement(None, now + 0.001))
        shared = server_limits.SharedLimit(reported.per_s, reported.age_s, 0)
        server_limits.apply_update(
            states, make_update({'s1': shared}), True, now
        )
        self.assertIsNone(limit.per_s)
