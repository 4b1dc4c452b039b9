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


class PartAheadTest(unittest.TestCase):
    def test_requests_of_heavier_organisations_are_not_ahead(self):
        # Guards against rejecting the requests of all organisations because
        # one of them has filled the queues.
        usage = {'heavy': 9.0, 'light': 1.0, 'idle': 0.0}.get
        waiting = {'heavy': 70, 'light': 20, 'idle': 10}
        rows = {'heavy': 1.0, 'light': 0.3, 'idle': 0.1}
        for name, expected in rows.items():
            with self.subTest(name):
                found = scheduling.part_ahead(usage, waiting, name)
                self.assertAlmostEqual(found, expected)
        self.assertEqual(scheduling.part_ahead(usage, {}, 'light'), 1.0)


class WorkEstimatesTest(unittest.TestCase):
    def test_work_is_expected_by_tokens_within_bounds(self):
        estimates = scheduling.WorkEstimates()
        self.assertEqual(estimates.work_s('k', 900, 1.5), 1.5)
        estimates.record('k', 900, 0.9)
        rows = {900: 0.9, 1_800: 1.8, 90_000: 3.6, 1: 0.225, None: 0.9}
        for tokens, expected in rows.items():
            with self.subTest(tokens=tokens):
                found = estimates.work_s('k', tokens, 1.5)
                self.assertAlmostEqual(found, expected)
