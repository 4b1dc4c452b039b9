import unittest

from wagtailtide_gateway.decisions import scheduling


class DecayingSumsTest(unittest.TestCase):
    def test_amounts_decay_and_are_dropped(self):
        # Guards against sums of each organisation ever seen.
        sums = scheduling.DecayingSums(2.0)
        sums.add('club', 3.0, 0.0)
        self.assertAlmostEqual(sums.value('club', 2.0), 3.0 / 2.718281828)
        self.assertEqual(sums.values(60.0), {})
        self.assertEqual(sums.value('club', 60.0), 0.0)

    def test_correction_leaves_no_negative_sum(self):
        sums = scheduling.DecayingSums(2.0)
        sums.add('club', 1.0, 0.0)
        sums.add('club', -5.0, 1.0)
        self.assertEqual(sums.value('club', 1.0), 0.0)


class RemainingAheadTest(unittest.TestCase):
    def test_later_arrivals_elsewhere_are_not_ahead(self):
        # Guards against rejecting a request near its turn, because as many
        # came after it as were ahead of it.
        ahead = [
            scheduling.remaining_ahead(100, 100, waited_s, 2.0)
            for waited_s in (0.0, 1.0, 2.0, 3.0)
        ]
        self.assertEqual(ahead, [100, 50, 0, 0])

    def test_fewer_reported_count_at_once(self):
        self.assertEqual(scheduling.remaining_ahead(7, 100, 0.5, 2.0), 7)
