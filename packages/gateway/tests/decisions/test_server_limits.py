import random
import unittest

from wagtailtide_gateway.decisions import server_limits

# The rule: this factor times what the limit allows in a span, and some more.
SPAN_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_MORE = 5

STEP_S = 0.05


def make_limit(per_s=1.6, at=0.0):
    limit = server_limits.ServerLimit()
    limit.update(server_limits.Statement(per_s, at))
    return limit


def simulate(instances, per_s, duration_s, leaderless, seed=1):
    """Send requests of all instances to one limited server.

    Each instance always has a request that only this server can run.

    Args:
        instances: Number of instances.
        per_s: Limit of the server.
        duration_s: Simulated seconds.
        leaderless: Start and end in seconds of a time without a leader, after
            which another one leads.
        seed: Seed of the random phases and of the order of the exchanges.

    Returns:
        The times in seconds at which the server got requests.
    """
    random.seed(seed)
    limits = [make_limit(per_s) for _ in range(instances)]
    buckets, times = server_limits.PermitBuckets(), []
    interval_s = max(0.25, instances / 120.0)
    next_exchange = [random.uniform(0.0, interval_s) for _ in limits]
    for step in range(round(duration_s / STEP_S)):
        now = step * STEP_S
        has_leader = not leaderless[0] <= now < leaderless[1]
        if now < leaderless[1] <= now + STEP_S:
            buckets = server_limits.PermitBuckets()
        order = random.sample(range(instances), instances)
        for number in order:
            limit = limits[number]
            limit.waiting = 1
            if has_leader and now >= next_exchange[number]:
                next_exchange[number] = now + interval_s
                wanted = limit.missing_permits(now)
                limit.add_permits(buckets.grant('s1', per_s, wanted, now), now)
            if limit.allows(None if has_leader else instances, now):
                limit.record_request(now)
                times.append(now)
    return times


def most_in_span(times):
    return max(sum(t <= other < t + SPAN_S for other in times) for t in times)


class FleetTest(unittest.TestCase):
    def test_limit_is_kept_over_all_instances_and_a_change_of_leader(self):
        # Incident 005.
        for instances in (1, 12, 20, 133):
            for per_s in (0.5, 1.6, 2.0, 8.0, 40.0):
                with self.subTest(instances=instances, per_s=per_s):
                    times = simulate(instances, per_s, 40.0, (15.0, 19.0))
                    self.assertLessEqual(
                        most_in_span(times),
                        ALLOWED_FACTOR * per_s * SPAN_S + ALLOWED_MORE,
                    )

    def test_limit_is_kept_while_no_leader_answers_for_long(self):
        for instances in (1, 12, 133):
            for seed in range(5):
                with self.subTest(instances=instances, seed=seed):
                    times = simulate(instances, 1.6, 60.0, (0.0, 60.0), seed)
                    self.assertLessEqual(
                        most_in_span(times),
                        ALLOWED_FACTOR * 1.6 * SPAN_S + ALLOWED_MORE,
                    )
                    self.assertGreater(len(times), 0.3 * 1.6 * 60.0)

    def test_most_of_the_limit_is_used(self):
        # Guards against refusals of requests that the server would take.
        for instances in (1, 12, 133):
            for per_s in (1.6, 8.0, 40.0):
                with self.subTest(instances=instances, per_s=per_s):
                    times = simulate(instances, per_s, 30.0, (30.0, 30.0))
                    possible = per_s * 30.0
                    if instances == 1:
                        # One waiting request asks once in an interval.
                        possible = min(possible, 4.0 * 30.0)
                    self.assertGreater(len(times), 0.8 * possible)


class ServerLimitTest(unittest.TestCase):
    def test_unused_permit_lapses(self):
        limit = make_limit()
        limit.add_permits(1, 5.0)
        self.assertTrue(limit.allows(None, 5.5))
        self.assertFalse(limit.allows(None, 5.0 + server_limits.PERMIT_TTL_S))

    def test_older_statement_does_not_replace_a_newer_one(self):
        # Guards against a limit that an update of the leader brings back.
        limit = make_limit(per_s=None, at=3.0)
        self.assertFalse(limit.update(server_limits.Statement(1.6, 2.9)))
        self.assertIsNone(limit.per_s)

    def test_lower_limit_drops_permits_of_the_higher_one(self):
        limit = make_limit(per_s=50.0)
        limit.add_permits(20, 5.0)
        limit.update(server_limits.Statement(1.6, 5.0))
        self.assertFalse(limit.allows(None, 5.1))

    def test_server_with_a_limit_of_zero_is_still_probed(self):
        # Guards against a server that is never used again because nothing
        # shows that it has lifted its limit.
        times = simulate(12, 0.0, 40.0, (40.0, 40.0))
        self.assertGreaterEqual(len(times), 2)
        self.assertLessEqual(most_in_span(times), ALLOWED_MORE)

    def test_waiting_requests_do_not_request_permits_without_pause(self):
        limit = make_limit()
        self.assertTrue(limit.start_permit_request(1.0))
        self.assertFalse(limit.start_permit_request(1.01))
        self.assertTrue(
            limit.start_permit_request(1.0 + server_limits.REQUEST_INTERVAL_S)
        )
