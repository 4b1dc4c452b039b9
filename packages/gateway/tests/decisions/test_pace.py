import unittest

from wagtailtide_gateway.decisions import pace


class PaceTest(unittest.TestCase):
    def test_leader_gets_a_bounded_number_of_exchanges(self):
        for instances in (1, 20, 133, 195, 390):
            interval_s = pace.exchange_interval_s(instances)
            self.assertLessEqual(
                instances / interval_s, pace.LEADER_EXCHANGES_PER_S
            )

    def test_leader_is_not_lost_between_two_exchanges(self):
        for instances in (1, 20, 133, 195, 390):
            interval_s = pace.exchange_interval_s(instances)
            self.assertFalse(
                pace.is_leader_lost(interval_s + 0.5, False, interval_s)
            )

    def test_leader_that_does_not_answer_is_lost(self):
        # Guards against a later takeover in a large fleet.
        for instances in (20, 195):
            interval_s = pace.exchange_interval_s(instances)
            self.assertTrue(pace.is_leader_lost(1.0, True, interval_s))
            self.assertFalse(pace.is_leader_lost(0.9, True, interval_s))
            self.assertTrue(
                pace.is_leader_lost(interval_s + 1.0, False, interval_s)
            )


class ExchangeRateTest(unittest.TestCase):
    def test_second_exchange_in_a_row_does_not_wait(self):
        # Guards against requests that wait for two exchanges, one for their
        # rate and one for memory, and pause between them.
        rate = pace.ExchangeRate()
        rate.record(124, 10.0)
        self.assertEqual(rate.pause_s(124, 10.0), 0.0)
        rate.record(124, 10.0)
        self.assertAlmostEqual(rate.pause_s(124, 10.0), 0.124)

    def test_exchanges_of_all_instances_are_bounded(self):
        rate, now, count = pace.ExchangeRate(), 0.0, 0
        while now < 10.0:
            rate.record(195, now)
            count += 1
            now += max(0.001, rate.pause_s(195, now))
        limit = pace.MAX_EXCHANGES_PER_S * 10.0 / 195 + pace.MAX_IN_A_ROW
        self.assertLessEqual(count, limit)
