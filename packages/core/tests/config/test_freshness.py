import unittest

import hypothesis
from hypothesis import strategies
from wagtailtide_core.config import freshness

SECONDS = strategies.floats(0, 100)
DRIFT = strategies.floats(-0.004, 0.004)


class FreshnessTest(unittest.TestCase):
    """Guards against taking the configuration for newer than it is."""

    @hypothesis.given(SECONDS, SECONDS, SECONDS, SECONDS, DRIFT, DRIFT)
    @hypothesis.settings(derandomize=True)
    def test_a_peers_age_is_an_upper_bound_on_drifting_clocks(
        self, age, there, back, held, drift, peer_drift
    ):
        # Real times: the peer's store request, my ping, its pong, receipt.
        requested, pinged = 0.0, age
        answered = pinged + there
        received = answered + back
        peer_age = (answered - requested) * (1 + peer_drift)
        local = 1 + drift
        at = freshness.from_peer(pinged * local, peer_age)
        now = (received + held) * local
        true_age = (received + held) - requested
        self.assertGreaterEqual(now - at, true_age * (1 - 0.004) - 1e-6)

    def test_an_answer_from_behind_is_not_accepted(self):
        state = freshness.Freshness()
        self.assertTrue(state.accept_store_answer(10, 1.0))
        self.assertFalse(state.accept_store_answer(9, 2.0))
        state.hear_of(12)
        self.assertFalse(state.accept_store_answer(11, 3.0))
        self.assertTrue(state.accept_store_answer(12, 4.0))

    def test_a_peer_confirms_only_the_same_configuration(self):
        state = freshness.Freshness()
        self.assertFalse(state.confirm_by_peer(1.0, 4, 5))
        self.assertTrue(state.confirm_by_peer(1.0, 5, 5))
        self.assertFalse(state.confirm_by_peer(9.0, 6, 5))
        # Known to be behind, so that an equally old peer confirms nothing.
        self.assertFalse(state.confirm_by_peer(9.0, 5, 5))
        self.assertEqual(state.confirmed_at, 1.0)
        self.assertTrue(state.confirm_by_peer(9.0, 6, 6))
