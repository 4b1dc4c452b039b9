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
    def test_largest_loss_comes_first_and_trifles_are_left_out(self):
        found = [row.cause for row in losses.losses(make_report())]
        self.assertEqual(
            [
                'not earned, nines',
                'refused again',
                'not earned, whole day',
                'memory',
            ],
            found,
        )

    def test_losses_and_worth_make_up_the_whole(self):
        # Guards against a budget that leaves a part of the worth out.
        total = sum(row.worth for row in losses.losses(make_report()))
        earned = 0.4 * 0.75 + 0.6 * 0.5 - 0.02 - 0.12
        self.assertAlmostEqual(1.0, total + earned)

    def test_requests_that_are_not_owed_are_left_out(self):
        first, second = losses.route_losses(make_report())
        self.assertEqual(('usual', 190), (first.name, first.owed))
        self.assertEqual(('rare', 15), (second.name, second.owed))

    def test_file_that_is_no_report_is_told(self):
        with self.assertRaises(losses.BadReport):
            losses.format_budget({'parts': 3})
        with self.assertRaises(losses.BadReport):
            losses.format_budget(make_report(classes=[{'name': 'x'}]))
