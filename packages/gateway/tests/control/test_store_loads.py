import types
import unittest

from wagtailtide_gateway.control import store_loads


def make_deployment(loads_per_s):
    engine = types.SimpleNamespace(loads_per_s=loads_per_s)
    plain = types.SimpleNamespace(engine=None)
    pool = types.SimpleNamespace(engine=engine)
    return types.SimpleNamespace(services={'plain': plain, 'pool': pool})


class StoreLoadLimiterTest(unittest.TestCase):
    def setUp(self):
        self.deployment = make_deployment(2.0)
        self.limiter = store_loads.StoreLoadLimiter(5.0)

    def test_loads_in_the_window_count_against_the_limit(self):
        # Guards against more loads in a window than the weight store allows.
        for now in (0.0, 1.0, 2.0):
            self.limiter.record_plan(now)
        self.assertEqual(7, self.limiter.remaining(self.deployment, 0, 4.9))
        self.assertEqual(8, self.limiter.remaining(self.deployment, 0, 5.0))

    def test_loads_planned_in_two_windows_start_within_the_limit(self):
        # Guards against loads whose engines had to unload models first, and
        # which start together with loads that were planned later.
        delays_s = [
            self.limiter.reserve_start(self.deployment, 6.0) for _ in range(21)
        ]
        self.assertEqual([0.0] * 10 + [5.0] * 10 + [10.0], delays_s)
        # Those that are to start at 11 s count for the window of 11 s.
        self.assertEqual(
            6.0, self.limiter.reserve_start(self.deployment, 10.0)
        )

    def test_new_leader_starts_no_load_in_the_window_of_its_predecessor(self):
        self.limiter.start_term(self.deployment, 3, 2.0, 0.0)
        reserve = self.limiter.reserve_start
        self.assertEqual(5.0, reserve(self.deployment, 0.0))
        self.assertEqual(0.0, reserve(self.deployment, 5.0))

    def test_open_loads_reduce_the_remaining_loads(self):
        self.assertEqual(1, self.limiter.remaining(self.deployment, 9, 0.0))

    def test_new_leader_assumes_a_nearly_used_window(self):
        # Guards against a new leader that starts as many loads as its
        # predecessor did in the same window.
        self.limiter.start_term(self.deployment, 2, 5.0, 0.0)
        self.assertEqual(3, self.limiter.remaining(self.deployment, 0, 4.9))
        self.assertEqual(10, self.limiter.remaining(self.deployment, 0, 5.0))

    def test_leader_after_a_short_term_starts_no_extra_loads(self):
        # Guards against three leaders in one window that start the extra
        # loads each.
        self.limiter.start_term(self.deployment, 3, 2.0, 0.0)
        self.assertEqual(0, self.limiter.remaining(self.deployment, 0, 4.9))
        self.assertEqual(10, self.limiter.remaining(self.deployment, 0, 5.0))

    def test_first_leader_may_use_the_whole_window(self):
        self.limiter.start_term(self.deployment, 1, 0.0, 0.0)
        self.assertEqual(10, self.limiter.remaining(self.deployment, 0, 0.0))
