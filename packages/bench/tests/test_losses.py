import unittest

from wagtailtide_bench import losses


def make_report(**changes):
    fields = {
        'parts': [['whole day', 0.4, 0.75], ['nines', 0.6, 0.5]],
        'prices': [
            ['memory', 16.0, 0.02],
            ['refused again', 700.0, 0.12],
            ['orders', 3.0, 0.0001],
        ],
        'classes': [
            {
                'name': 'rare',
                'n': 20,
                'not_owed': 5,
                'late': 4,
                'refused': 3,
                'failed': 0,
                'worth': 0.5,
            },
            {
                'name': 'usual',
                'n': 200,
                'not_owed': 10,
                'late': 40,
                'refused': 30,
                'failed': 1,
                'worth': 0.7,
            },
        ],
    }
    return fields | changes


class LossesTest(unittest.TestCase):
    def test_largest_loss_comes_first_and_small_ones_are_left_out(self):
        causes = [row.cause for row in losses.losses(make_report())]
        self.assertEqual(
            [
                'not earned, nines',
                'refused again',
                'not earned, whole day',
                'memory',
            ],
            causes,
        )

    def test_losses_and_earned_score_add_up_to_one(self):
        # Guards against a cause that is missing from the breakdown.
        total = sum(row.lost_score for row in losses.losses(make_report()))
        earned = 0.4 * 0.75 + 0.6 * 0.5 - 0.02 - 0.12
        self.assertAlmostEqual(1.0, total + earned)

    def test_requests_that_are_not_due_are_left_out(self):
        first, second = losses.class_results(make_report())
        self.assertEqual(('usual', 190), (first.name, first.due))
        self.assertEqual(('rare', 15), (second.name, second.due))

    def test_invalid_report_is_rejected(self):
        with self.assertRaises(losses.InvalidReport):
            losses.format_losses({'parts': 3})
        with self.assertRaises(losses.InvalidReport):
            losses.format_losses(make_report(classes=[{'name': 'x'}]))
