import types
import unittest

from wagtailtide_gateway.control import store_loads


def make_deployment(loads_per_s):
    engine = types.SimpleNamespace(loads_per_s=loads_per_s)
    plain = types.SimpleNamespace(engine=None)
    pool = types.SimpleNamespace(engine=engine)
    return types.SimpleNamespace(services={'plain': plain, 'pool': pool})


class StoreLoadsTest(unittest.TestCase):
    def setUp(self):
        self.deployment = make_deployment(2.0)
        self.loads = store_loads.StoreLoads(5.0)

    def test_loads_of_the_window_count_against_its_limit(self):
        # Guards the limit on loads that begin in any window.
        for now in (0.0, 1.0, 2.0):
            self.loads.count(now)
        self.assertEqual(7, self.loads.left(self.deployment, 0, 4.9))
        self.assertEqual(8, self.loads.left(self.deployment, 0, 5.0))

    def test_open_loads_bound_what_may_begin(self):
        self.assertEqual(1, self.loads.left(self.deployment, 9, 0.0))

    def test_new_holder_takes_the_window_for_nearly_used(self):
        # Guards against a second holder that loads as much again as the one
        # before it in the same window.
        self.loads.begin_duty(self.deployment, 2, 0.0)
        self.assertEqual(3, self.loads.left(self.deployment, 0, 4.9))
        self.assertEqual(10, self.loads.left(self.deployment, 0, 5.0))

    def test_first_holder_may_use_the_whole_window(self):
        self.loads.begin_duty(self.deployment, 1, 0.0)
        self.assertEqual(10, self.loads.left(self.deployment, 0, 0.0))
