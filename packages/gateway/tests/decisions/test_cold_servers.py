import random
import unittest

from wagtailtide_gateway.decisions import cold_servers
from wagtailtide_gateway.decisions import server_limits

from tests.decisions import cold_fleet

SEEDS = range(3)


def make_cold(remaining_s=3.0, now=0.0):
    cold = cold_servers.ColdStart(lambda: cold_fleet.RULE)
    cold.note_stated(remaining_s, now)
    return cold


class FleetTest(unittest.TestCase):
    """Replays 94 instances and 14 servers, unless stated otherwise."""

    def check_bound(self, **changes):
        """Check the bound of one second; return the requests of each seed."""
        counts = []
        for seed in SEEDS:
            replay = cold_fleet.Replay(cold_fleet.Fleet(**changes), seed)
            most = replay.run()
            with self.subTest(seed=seed):
                self.assertLessEqual(most, cold_fleet.MAX_IN_1_S)
            counts.append(sum(map(len, replay.arrivals.values())))
        return counts

    def test_servers_that_return_together_are_not_overloaded(self):
        # Each instance sees empty servers while its callers wait.
        counts = self.check_bound()
        possible = cold_fleet.PER_S * cold_fleet.START_S * 14
        # Guards against cold servers that nobody uses.
        self.assertGreater(min(counts), 0.5 * possible)

    def test_instances_that_learn_at_once_keep_the_bound(self):
        self.check_bound(learned_within_s=0.0)

    def test_instances_that_learn_late_keep_the_bound(self):
        self.check_bound(learned_within_s=3.0)

    def test_change_of_leader_does_not_grant_twice(self):
        for started_at in (0.2, 1.0, 1.8):
            for length_s in (0.0, 0.3, 1.0):
                with self.subTest(started_at=started_at, length_s=length_s):
                    gap = (started_at, started_at + length_s)
                    self.check_bound(leaderless=gap)

    def test_instances_without_a_leader_keep_the_bound_beside_others(self):
        for share in (0.1, 0.5, 0.9):
            with self.subTest(share=share):
                self.check_bound(deaf_share=share)

    def test_instances_that_have_never_heard_a_leader_keep_the_bound(self):
        # They know of no other instance.
        for share in (0.5, 1.0):
            with self.subTest(share=share):
                self.check_bound(deaf_share=share, deaf_count=1)

    def test_servers_that_become_cold_in_the_ramp_keep_the_bound(self):
        # All instances learn of the second period at once: what they send
        # before they know of it cannot be limited.
        for cold_again_at in (4.0, 4.5):
            for seed in SEEDS:
                fleet = cold_fleet.Fleet(
                    learned_within_s=0.0,
                    cold_again_at=cold_again_at,
                    duration_s=cold_again_at + 3.0,
                )
                replay = cold_fleet.Replay(fleet, seed)
                replay.run()
                with self.subTest(cold_again_at=cold_again_at, seed=seed):
                    begin = cold_again_at + cold_fleet.MAX_ARRIVAL_S
                    for times in replay.arrivals.values():
                        later = [at for at in times if at > begin]
                        self.assertLessEqual(
                            cold_fleet.most_in_1_s(later),
                            cold_fleet.MAX_IN_1_S,
                        )

    def test_small_fleets_use_cold_servers(self):
        for instances in (1, 3, 12):
            with self.subTest(instances=instances):
                counts = self.check_bound(
                    instances=instances, servers=2, waiting=20
                )
                possible = cold_fleet.PER_S * cold_fleet.START_S * 2
                self.assertGreater(min(counts), 0.4 * possible)


class RuleTest(unittest.TestCase):
    def test_without_bounds_or_rate_there_is_no_cold_limit(self):
        for arguments in (
            (3.0, 0.0, 1.5, 5),
            (3.0, 8.0, None, 5),
            (3.0, 8.0, 1.5, None),
        ):
            with self.subTest(arguments=arguments):
                self.assertIsNone(cold_servers.make_rule(*arguments))

    def test_permits_of_one_second_fit_into_the_bound(self):
        for per_s in (1.0, 2.0, 8.0, 40.0):
            for slack in (1.0, 5.0):
                with self.subTest(per_s=per_s, slack=slack):
                    rule = cold_servers.make_rule(3.0, per_s, 1.5, slack)
                    span_s = (
                        1.0
                        + cold_servers.PERMIT_TTL_S
                        + cold_servers.ARRIVAL_JITTER_S
                    )
                    self.assertLessEqual(
                        rule.permits_per_s * span_s + rule.burst,
                        per_s * 1.5 + slack,
                    )


class ColdStartTest(unittest.TestCase):
    def test_rate_ramps_up_before_the_limit_ends(self):
        # Guards against all instances filling an empty server at once.
        cold = make_cold()
        rates = [cold.per_s(3.0 + t) for t in (0.0, 0.5, 1.0, 1.9)]
        self.assertEqual(rates[0], cold_fleet.RULE.permits_per_s)
        self.assertEqual(rates, sorted(rates))
        self.assertIsNone(cold.per_s(3.0 + cold_servers.RAMP_S))

    def test_late_statement_of_a_shorter_time_does_not_end_the_period(self):
        cold = make_cold()
        cold.note_stated(0.2, 1.0)
        self.assertEqual(cold.per_s(2.9), cold_fleet.RULE.permits_per_s)

    def test_suspicion_is_not_reported_to_others(self):
        # Guards against one lost path that limits a server for all.
        cold = cold_servers.ColdStart(lambda: cold_fleet.RULE)
        cold.note_suspected(5.0)
        self.assertTrue(cold.is_limited(5.1))
        self.assertLess(cold.own_until, 5.0)

    def test_turn_serves_one_request(self):
        random.seed(1)
        cold = make_cold()
        sent = 0
        for step in range(3_000):
            now = step * 0.01
            if cold.is_turn(1, now):
                cold.record_turn(now)
                sent += 1
        self.assertIn(sent, (1, 2))


class ServerLimitTest(unittest.TestCase):
    def make_limit(self, stated_per_s):
        limit = server_limits.ServerLimit(make_cold())
        limit.update(server_limits.Statement(stated_per_s, 0.0))
        return limit

    def test_smaller_limit_applies(self):
        self.assertEqual(self.make_limit(1.6).present_per_s(1.0), 1.6)
        self.assertEqual(
            self.make_limit(50.0).present_per_s(1.0),
            cold_fleet.RULE.permits_per_s,
        )

    def test_placement_does_not_see_the_cold_limit(self):
        # Guards against models that are moved away from an engine that is
        # warm within seconds.
        limit = server_limits.ServerLimit(make_cold())
        self.assertIsNone(limit.per_s)

    def test_permit_for_a_cold_server_lapses_sooner(self):
        limit = server_limits.ServerLimit(make_cold())
        limit.add_permits(1, 1.0)
        self.assertTrue(limit.allows(None, 1.4))
        self.assertFalse(limit.allows(None, 1.6))

    def test_empty_queues_have_another_order_on_each_instance(self):
        # Guards against all instances waiting for the same one of many
        # servers.
        first = set()
        for _ in range(20):
            limits = [self.make_limit(None) for _ in range(4)]
            best = min(limits, key=lambda limit: limit.queue_order(1.0))
            first.add(limits.index(best))
        self.assertGreater(len(first), 1)
