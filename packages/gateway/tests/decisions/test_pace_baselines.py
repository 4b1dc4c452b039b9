import unittest

from wagtailtide_gateway.decisions import pace_baselines


class PaceBaselinesTest(unittest.TestCase):
    def test_slow_server_is_no_baseline_of_its_peers(self):
        baselines = pace_baselines.PaceBaselines()
        baselines.update({('engines', 'm1', 0, 1): [0.04, 0.08]}, 0.25)
        self.assertEqual(baselines.expected('engines', 'm1', 0, 1), 0.04)

    def test_next_band_with_peers_is_used(self):
        # Guards against comparing a limited server with itself.
        baselines = pace_baselines.PaceBaselines()
        baselines.update(
            {
                ('engines', 'm1', 0, 0): [0.08],
                ('engines', 'm1', 0, 2): [0.04, 0.04],
            },
            0.25,
        )
        self.assertEqual(baselines.expected('engines', 'm1', 0, 0), 0.04)
        self.assertIsNone(baselines.expected('engines', 'm2', 0, 0))
