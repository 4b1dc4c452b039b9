import random
import unittest

from wagtailtide_gateway.decisions import quota

from tests import builders


class TokenBucketsTest(unittest.TestCase):
    def test_bucket_is_empty_at_the_start_of_a_leadership_term(self):
        # Guards against a second burst after a change of leader.
        org = builders.make_organisation(rate_per_s=100, burst=1_000)
        buckets = quota.TokenBuckets(leader_since=50.0)
        self.assertEqual(buckets.draw(org, 500, now=50.0), 0.0)
        self.assertEqual(buckets.draw(org, 500, now=52.0), 200.0)

    def test_refill_wait_gives_the_retry_time(self):
        org = builders.make_organisation(rate_per_s=100, burst=1_000)
        buckets = quota.TokenBuckets(leader_since=0.0)
        self.assertAlmostEqual(buckets.refill_wait_s(org, 250, now=1.0), 1.5)

    def test_returned_quota_can_be_drawn_again(self):
        org = builders.make_organisation(rate_per_s=0.001, burst=100)
        buckets = quota.TokenBuckets(leader_since=-1e6)
        drawn = buckets.draw(org, 80, now=0.0)
        buckets.draw(org, -30, now=0.0)
        again = buckets.draw(org, 80, now=0.0)
        self.assertEqual((80.0, 50.0), (drawn, round(again)))


class RetryTest(unittest.TestCase):
    def test_callers_without_a_leader_return_spread_after_the_takeover(self):
        # Guards against callers that all return at once, before another
        # instance can lead.
        waits = [quota.unconfirmed_retry_s(1.0, 3.0) for _ in range(200)]
        self.assertGreater(min(waits), 3.0)
        self.assertGreater(max(waits) - min(waits), 0.8)
        late = [quota.unconfirmed_retry_s(9.0, 3.0) for _ in range(200)]
        self.assertLess(max(late), 2.0)


class SharedRateTest(unittest.TestCase):
    def test_overload_at_all_instances_stays_within_rate_and_burst(self):
        # One organisation sends eight times its rate, spread unevenly over the
        # instances.
        org = builders.make_organisation(rate_per_s=1_000, burst=500)
        rng = random.Random(7)
        buckets = quota.TokenBuckets(leader_since=0.0)
        quotas = [quota.LocalQuota() for _ in range(12)]
        weights = [rng.random() ** 2 for _ in quotas]
        admitted = []
        for tick in range(1, 400):
            now = tick * 0.05
            for _ in range(8):
                local_quota = rng.choices(quotas, weights)[0]
                if local_quota.charge(org, 50):
                    admitted.append((now, 50))
            for local_quota in quotas:
                for name, amount in local_quota.amounts_to_draw(0.05).items():
                    local_quota.add_granted(
                        name, buckets.draw(org, amount, now)
                    )
        for start, _ in admitted:
            spent = sum(c for t, c in admitted if start <= t < start + 8)
            self.assertLessEqual(spent, 1_000 * 8 + 500 + 50)
        self.assertGreater(sum(c for _, c in admitted), 0.8 * 1_000 * 20)

    def test_waiting_request_is_covered_by_the_next_draw(self):
        # Guards against refusing the first request of an organisation that has
        # not used its rate.
        org = builders.make_organisation()
        local_quota = quota.LocalQuota()
        self.assertFalse(local_quota.charge(org, 300))
        local_quota.add_pending(org, 300)
        local_quota.add_granted(
            'club', local_quota.amounts_to_draw(0.002)['club']
        )
        self.assertTrue(local_quota.charge_counted(org, 300))

    def test_even_shares_without_a_leader_stay_within_the_rate(self):
        org = builders.make_organisation(rate_per_s=1_200)
        quotas = [quota.LocalQuota() for _ in range(12)]
        admitted = 0
        for tick in range(101):
            for local_quota in quotas:
                local_quota.accrue_even_share(org, 12, tick * 0.1)
                while local_quota.charge(org, 10):
                    admitted += 10
        self.assertLessEqual(admitted, 1_200 * 10 + 1)
