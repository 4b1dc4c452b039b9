import unittest

from wagtailtide_gateway.decisions import large_requests


class LargeDemandTest(unittest.TestCase):
    def test_rise_ends_when_the_others_know_of_it(self):
        demand = large_requests.LargeDemand()
        demand.record('m1', 8_000, 10.0)
        self.assertEqual(demand.rise('m1', 2.0, 12.0), 8_000)
        self.assertEqual(demand.rise('m1', 2.0, 12.1), 0)

    def test_steady_demand_is_no_rise(self):
        # Guards against large requests that always wait where no other
        # instance gets any.
        demand = large_requests.LargeDemand()
        for tenth in range(40):
            demand.record('m1', 8_000, tenth / 10.0)
        self.assertEqual(demand.rise('m1', 1.0, 3.95), 0)

    def test_old_demand_is_forgotten(self):
        # Guards against a table that grows with each model.
        demand = large_requests.LargeDemand()
        demand.record('m1', 8_000, 10.0)
        demand.rise('m1', 2.0, 14.1)
        self.assertEqual(len(demand._wanted), 0)
