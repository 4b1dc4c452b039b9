import unittest

from wagtailtide_gateway.decisions import pace_scatter

STEP_S = 0.25


def scatter_of(differences, seconds=30):
    """Return a PaceScatter of servers with these differences."""
    scatter = pace_scatter.PaceScatter()
    for _ in range(round(seconds / STEP_S)):
        scatter.update(differences, STEP_S)
    return scatter


class PaceScatterTest(unittest.TestCase):
    def test_nothing_is_concluded_at_first(self):
        # Guards against limiting servers before the effect of their batches
        # is known.
        scatter = scatter_of([0.0] * 6, pace_scatter.INITIAL_S - STEP_S)
        self.assertEqual(scatter.tolerated(4.0), pace_scatter.TOLERATED)

    def test_servers_that_are_explained_are_judged_closely(self):
        scatter = scatter_of([0.0, 0.005, -0.005, 0.0, 0.005, 0.0])
        self.assertEqual(scatter.tolerated(1.2), 1.2)

    def test_scatter_is_tolerated(self):
        scatter = scatter_of([0.05, -0.05, 0.05, -0.05, 0.05, -0.05])
        self.assertEqual(scatter.tolerated(1.45), pace_scatter.TOLERATED)
        self.assertEqual(scatter.tolerated(2.0), 2.0)

    def test_server_at_half_speed_is_slow_whatever_the_scatter(self):
        scatter = scatter_of([0.7, -0.7] * 3)
        self.assertEqual(scatter.tolerated(2.0), 2.0)

    def test_single_slow_server_is_no_scatter(self):
        # Guards against a slow server that hides itself.
        scatter = scatter_of([0.7, 0.0, 0.0, 0.0, 0.0, 0.0])
        self.assertEqual(scatter.tolerated(1.3), 1.3)
