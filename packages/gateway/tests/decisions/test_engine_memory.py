import math
import types
import unittest

from wagtailtide_gateway.decisions import engine_memory

from tests.decisions import memory_fleet

CAPACITY = 100_000
SEEDS = range(2)


def make_sizes(*tokens):
    sizes = engine_memory.RequestSizes(5_000)
    for count in tokens:
        sizes.record(count)
    return sizes


def make_others(**changes):
    fields = {
        'are_reported': True,
        'age_s': 0.5,
        'instances': 9,
        'service_s': 1.5,
    }
    return engine_memory.Others(**fields | changes)


def fits(
    tokens, own=0, known=0, load=0, wanted_per_s=0.0, chance=0.5, **others
):
    share = engine_memory.make_share_function(
        tokens, make_others(**others), make_sizes(2_000), CAPACITY
    )
    return chance < share(own, known, load, wanted_per_s)


class FleetCase(unittest.TestCase):
    """Replays whose engines never hold more than their memory."""

    def check_bound(self, **changes):
        for seed in SEEDS:
            replay = memory_fleet.Replay(memory_fleet.Load(**changes), seed)
            replay.run()
            with self.subTest(seed=seed):
                self.assertLessEqual(replay.most, memory_fleet.CAPACITY)
                yield replay


class FleetTest(FleetCase):
    """Replays the first deployment, unless stated otherwise."""

    def test_engines_hold_the_requests_of_the_deployment(self):
        # Without the shares, all instances choose the engine that seemed
        # empty, which gets several times its memory.
        for replay in self.check_bound(arrivals_per_s=400.0):
            self.assertGreater(replay.served, 0.9 * 4_000)

    def test_engines_hold_the_requests_of_an_overload(self):
        for _ in self.check_bound(arrivals_per_s=700.0):
            pass

    def test_one_instance_fills_its_engines_exactly(self):
        load = {'instances': 1, 'engines': 3, 'sizes': (8_000,)}
        for replay in self.check_bound(**load, arrivals_per_s=80.0):
            self.assertGreater(replay.most, 0.8 * memory_fleet.CAPACITY)

    def test_engines_hold_requests_that_are_large_beside_their_memory(self):
        for _ in self.check_bound(sizes=(8_000,), arrivals_per_s=300.0):
            pass

    def test_engines_hold_large_requests_of_few_instances(self):
        fleet = {'instances': 36, 'engines': 30}
        for _ in self.check_bound(
            sizes=(8_000,), arrivals_per_s=150.0, **fleet
        ):
            pass

    def test_engines_hold_requests_just_below_large_ones(self):
        # Twelve of 5,800 tokens, as many as slots, fill an engine.
        fleet = {'instances': 36, 'engines': 30, 'service_s': 6.0}
        for _ in self.check_bound(
            sizes=(5_800,), arrivals_per_s=150.0, **fleet
        ):
            pass

    def test_engines_hold_requests_just_below_reserved_ones(self):
        # More than 24 of 2,900 tokens, twice the slots, fit into an engine.
        for _ in self.check_bound(
            sizes=(2_900,), arrivals_per_s=400.0, service_s=6.0
        ):
            pass

    def test_engines_hold_large_requests_among_usual_ones(self):
        sizes = (1_100,) * 9 + (8_000,)
        for _ in self.check_bound(sizes=sizes, arrivals_per_s=400.0):
            pass


class LeaderChangeTest(FleetCase):
    """Replays the first deployment with a change of leader after 4 s.

    Guards against sums of a new leader that lack most instances.
    """

    def check_change(self, leaderless_s, **changes):
        for _ in self.check_bound(
            leader_lost_at_s=4.0, leaderless_s=leaderless_s, **changes
        ):
            pass

    def test_engines_hold_the_requests_of_an_overload(self):
        for leaderless_s in (0.0, 1.5):
            self.check_change(leaderless_s, arrivals_per_s=700.0)

    def test_engines_hold_requests_that_run_long(self):
        self.check_change(0.0, service_s=6.0, arrivals_per_s=400.0)

    def test_engines_hold_the_requests_after_seconds_without_a_leader(self):
        # The tokens of the others are unknown then.
        self.check_change(4.0, arrivals_per_s=700.0)

    def test_engines_hold_the_requests_of_few_instances(self):
        fleet = {'instances': 12, 'engines': 6, 'arrivals_per_s': 60.0}
        self.check_change(1.5, **fleet)

    def test_engines_hold_requests_that_are_large_beside_their_memory(self):
        # The leader gives no turns for the first 2.5 s of its term.
        for leaderless_s in (0.0, 1.5):
            self.check_change(
                leaderless_s, sizes=(8_000,), arrivals_per_s=300.0
            )


class FitsTest(unittest.TestCase):
    def test_tokens_of_this_instance_count_at_once(self):
        self.assertTrue(fits(10_000, own=80_000))
        self.assertFalse(fits(10_000, own=95_000))

    def test_tokens_of_others_count(self):
        self.assertFalse(fits(10_000, known=90_000))

    def test_request_as_large_as_the_memory_fits_into_an_empty_engine(self):
        # Guards against a margin that refuses it for ever.
        self.assertTrue(fits(CAPACITY))
        self.assertFalse(fits(CAPACITY + 1))

    def test_unknown_tokens_of_others_count_by_their_requests(self):
        # Guards against taking silence for an empty engine.
        self.assertFalse(fits(2_000, load=45, are_reported=False))

    def test_old_tokens_of_others_get_a_larger_margin(self):
        self.assertTrue(fits(10_000, known=70_000, load=30))
        self.assertFalse(fits(10_000, known=70_000, load=30, age_s=3.0))

    def test_few_requests_use_an_engine_that_all_want(self):
        self.assertTrue(fits(2_000, wanted_per_s=2_000_000.0, chance=0.0))
        self.assertFalse(fits(2_000, wanted_per_s=2_000_000.0, chance=0.2))

    def test_few_large_requests_exceed_the_free_memory_very_rarely(self):
        # Guards against deviations of a normal distribution where 3 fit.
        for count in range(1, 9):
            mean = engine_memory._admitted_few(count * 8_000.0, 8_000) / 8_000
            excess = 1.0 - sum(
                math.exp(-mean) * mean**n / math.factorial(n)
                for n in range(count + 1)
            )
            with self.subTest(count=count):
                self.assertLessEqual(excess, 1e-4)
                self.assertGreater(excess, 1e-5)

    def test_instance_on_its_own_needs_no_margin(self):
        self.assertTrue(fits(5_000, own=95_000, instances=0))
        self.assertFalse(fits(5_001, own=95_000, instances=0))


class ChancesTest(unittest.TestCase):
    def test_chances_of_a_request_are_spread_over_its_engines(self):
        # Guards against a request that may use no engine by bad luck.
        for number in range(50):
            chances = engine_memory.chances(number, 'abcd', 0)
            self.assertEqual(
                [int(4 * chance) for chance in sorted(chances.values())],
                [0, 1, 2, 3],
            )

    def test_chances_at_an_engine_are_even(self):
        # Guards against a hash that prefers some engines.
        chances = [
            engine_memory.chances(number, 'abcd', 0)['b']
            for number in range(2_000)
        ]
        for limit in (0.1, 0.5, 0.9):
            share = sum(chance < limit for chance in chances) / len(chances)
            self.assertAlmostEqual(share, limit, delta=0.05)


class SizesTest(unittest.TestCase):
    def test_unknown_size_is_never_zero(self):
        self.assertEqual(make_sizes().mean, 5_000)
        self.assertEqual(make_sizes(1_000, 3_000).mean, 2_000)

    def test_engine_without_slots_counts_as_one_of_a_single_slot(self):
        # Guards against a division by zero for each request of the service.
        engine = types.SimpleNamespace(kv_capacity_tokens=5_000, slots=0)
        sizes = engine_memory.HeldTokens().sizes('engines', engine)
        self.assertEqual(sizes.mean, 5_000)
