import random
import unittest

from wagtailtide_gateway.decisions import quota

from tests import builders
from tests.decisions import quota_fleet


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
        org = builders.make_organisation(rate_per_s=1_200, burst=1_200)
        quotas = [quota.LocalQuota() for _ in range(12)]
        admitted = 0
        for local_quota in quotas:
            local_quota.apply_share(1, 1 / 12, {'club': 0.0})
        for tick in range(101):
            for local_quota in quotas:
                while local_quota.charge_without_leader(org, 10, tick * 0.1):
                    admitted += 10
        # Each instance may owe a part of one request.
        self.assertLessEqual(admitted, 1_200 * 10 + 12 * 10)
        self.assertGreater(admitted, 1_200 * 10 - 12 * 10)

    def test_lower_limit_binds_without_a_leader(self):
        org = builders.make_organisation(rate_per_s=1_000)
        lower = builders.make_organisation(rate_per_s=100, burst=100)
        local_quota = quota.LocalQuota()
        local_quota.apply_share(1, 0.5, {})
        local_quota.accrue(org, 10.0)
        admitted = 0
        for tick in range(1, 81):
            while local_quota.charge_without_leader(
                lower, 10, 10.0 + tick * 0.1
            ):
                admitted += 10
        allowed = 0.5 * (100 * 8 + quota.RESERVE_PART * 1_000)
        self.assertLessEqual(admitted, allowed + 10)

    def test_suspended_instance_accrues_one_second_at_most(self):
        org = builders.make_organisation(burst=10_000.0)
        local_quota = quota.LocalQuota()
        local_quota.apply_share(1, 1.0, {'club': 0.0})
        local_quota.accrue(org, 10.0)
        local_quota.accrue(org, 60.0)
        self.assertFalse(local_quota.charge(org, 1_001))
        self.assertTrue(local_quota.charge(org, 1_000))

    def test_what_was_accrued_is_drawn_from_a_leader_that_comes_back(self):
        # Guards against using the rate twice: the bucket was refilled for the
        # time in which the leader did not answer.
        org = builders.make_organisation()
        local_quota = quota.LocalQuota()
        local_quota.apply_share(1, 1.0, {'club': 0.0})
        local_quota.accrue(org, 10.0)
        self.assertTrue(local_quota.charge_without_leader(org, 900, 10.9))
        local_quota.apply_share(1, None, None)
        self.assertGreater(local_quota.amounts_to_draw(1.0)['club'], 900)

    def test_instance_that_heard_no_leader_uses_no_share(self):
        # Guards against a recorded number of instances that is too low.
        org = builders.make_organisation()
        local_quota = quota.LocalQuota()
        local_quota.set_first_share(1)
        local_quota.accrue(org, 10.0)
        self.assertFalse(local_quota.charge_without_leader(org, 1, 11.0))


class RateSharesTest(unittest.TestCase):
    def test_shares_are_even_and_never_add_up_to_more_than_one(self):
        shares = quota.RateShares(float('-inf'))
        held = {}
        for second in range(8):
            for number in range(min(second + 1, 6)):
                name = f'front-{number}'
                shares.receive(name, True, 0.0, second)
                held[name] = shares.issue(name, second)
                self.assertLessEqual(sum(held.values()), 1.0 + 1e-9)
        self.assertAlmostEqual(held['front-0'], 1 / 6)

    def test_new_leader_withholds_the_shares_not_handed_over(self):
        shares = quota.RateShares(leader_since=10.0)
        shares.receive('front-1', False, 0.25, 10.2)
        # The update may be lost, so the instance may still use its share.
        self.assertIsNone(shares.issue('front-1', 10.2))
        self.assertEqual(shares.present_share(10.2), 0.0)
        shares.receive('front-1', True, 0.25, 10.3)
        self.assertEqual(shares.present_share(10.3), 0.25)
        self.assertEqual(shares.issue('front-1', 10.3), 0.25)
        later = 10.0 + quota.SHARE_TTL_S
        self.assertEqual(shares.present_share(later), 1.0)

    def test_share_of_a_silent_instance_is_withheld_until_it_expires(self):
        shares = quota.RateShares(float('-inf'))
        for name in ('front-1', 'front-2'):
            shares.receive(name, True, 0.0, 0.0)
        shares.issue('front-1', 0.0)
        shares.issue('front-2', 0.0)
        shares.receive('front-2', True, 0.5, 2.0)
        shares.expire(2.0)
        self.assertEqual(shares.present_share(2.0), 0.5)
        shares.receive('front-2', True, 0.5, 7.0)
        shares.expire(7.0)
        self.assertEqual(shares.present_share(7.0), 1.0)

    def test_withheld_share_is_returned_with_the_next_report(self):
        shares = quota.RateShares(float('-inf'))
        shares.receive('front-1', True, 0.0, 0.0)
        shares.issue('front-1', 0.0)
        shares.expire(2.0)
        self.assertEqual(shares.receive('front-1', True, 1.0, 3.0), 1.0)
        self.assertEqual(shares.present_share(3.0), 1.0)


def make_led_fleet(load, **options):
    fleet = quota_fleet.Fleet(**options)
    fleet.lead(1)
    fleet.run(10, load)
    return fleet


def lose_leader(fleet, loads):
    fleet.lose_leader()
    fleet.run(4, loads=loads)
    fleet.lead(2)
    fleet.run(9, loads=loads)


def suspend_leader(fleet, loads):
    leader = fleet.instances[0].leader
    leader.frozen = True
    fleet.run(3, loads=loads)
    leader.frozen = False
    fleet.run(9, loads=loads)


def cut_off_half_from_a_working_leader(fleet, loads):
    leader, half = fleet.instances[0].leader, fleet.instances[::2]
    fleet.lose_leader(half)
    for instance in half:
        instance.unheard = leader
    fleet.run(12, loads=loads)
    for instance in half:
        instance.leader = leader
    fleet.run(4, loads=loads)


def cut_off_half_from_a_new_leader(fleet, loads):
    fleet.lose_leader()
    fleet.run(4, loads=loads)
    leader = fleet.lead(2, fleet.instances[::2])
    for instance in fleet.instances[1::2]:
        instance.unheard = leader
    fleet.run(12, loads=loads)


def change_leaders_every_second(fleet, loads):
    fleet.lose_leader()
    for fence in range(2, 7):
        fleet.run(0.4, loads=loads)
        fleet.lead(fence)
        fleet.run(0.7, loads=loads)
        fleet.lose_leader()
    fleet.lead(9)
    fleet.run(6, loads=loads)


def suspend_all_instances(fleet, loads):
    fleet.lose_leader()
    fleet.run(1, loads=loads)
    for instance in fleet.instances:
        instance.frozen = True
    fleet.run(5, loads=loads)
    for instance in fleet.instances:
        instance.frozen = False
    fleet.run(3, loads=loads)
    fleet.lead(2)
    fleet.run(6, loads=loads)


def leave_idle_without_a_leader(fleet, loads):
    fleet.lose_leader()
    fleet.run(12, 0.02)
    fleet.run(9, loads=loads)


def take_over_idle_instances(fleet, loads):
    fleet.lose_leader()
    fleet.run(12, 0.02)
    fleet.lead(2)
    fleet.run(2.5, 0.02)
    fleet.run(9, loads=loads)


class LostLeaderTest(unittest.TestCase):
    """Replays of 133 instances that callers reach unevenly."""

    def test_requests_within_rate_are_served_while_there_is_no_leader(self):
        # Guards against shares that are less than one request and so serve
        # nothing: 24 of 100 with shares that had to cover a whole request.
        fleet = make_led_fleet(0.6)
        lost_at = fleet.now
        fleet.lose_leader()
        fleet.run(4, 0.6)
        self.assertGreater(fleet.served_share(lost_at), 0.36)

    def test_sevenfold_load_stays_within_the_limit(self):
        # Guards against the sum of all instances exceeding a limit while some
        # or all of them hear no leader.
        loads = dict.fromkeys(range(3), 7.0)
        for load in (0.55, 1.0):
            for faults in (
                lose_leader,
                suspend_leader,
                cut_off_half_from_a_working_leader,
                cut_off_half_from_a_new_leader,
                change_leaders_every_second,
                suspend_all_instances,
                leave_idle_without_a_leader,
                take_over_idle_instances,
            ):
                with self.subTest(faults.__name__, load=load):
                    fleet = make_led_fleet(load, orgs=3)
                    faults(fleet, loads)
                    excess, _ = fleet.excess()
                    self.assertLess(excess, 0.0)
