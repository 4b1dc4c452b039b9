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

    def test_single_server_is_not_compared_with_itself(self):
        # Guards against a server that counts as slow because its only work
        # has become slower, as when a batch holds other models.
        baselines = pace_baselines.PaceBaselines()
        key = ('engines', 'm1', 0, 1)
        baselines.update({key: [0.04]}, 0.25)
        self.assertIsNone(baselines.expected(*key))

    def test_pace_of_peers_that_are_gone_is_forgotten(self):
        baselines = pace_baselines.PaceBaselines()
        key = ('engines', 'm1', 0, 1)
        baselines.update({key: [0.04, 0.04]}, 0.25)
        steps = int(pace_baselines.PEERS_TTL_S / 0.25)
        for _ in range(steps):
            baselines.update({key: [0.08]}, 0.25)
        self.assertEqual(baselines.expected(*key), 0.04)
        baselines.update({key: [0.08]}, 0.25)
        self.assertIsNone(baselines.expected(*key))
