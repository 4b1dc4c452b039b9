import unittest

import hypothesis
from hypothesis import strategies
from wagtailtide_core.config import freshness

SECONDS = strategies.floats(0, 100)
DRIFT = strategies.floats(-0.004, 0.004)


class FreshnessTest(unittest.TestCase):
    """Guards against confirmation ages that are too low."""

    @hypothesis.given(SECONDS, SECONDS, SECONDS, SECONDS, DRIFT, DRIFT)
    @hypothesis.settings(derandomize=True)
    def test_a_peers_age_is_an_upper_bound_on_drifting_clocks(
        self, age, ping_s, pong_s, held_s, drift, peer_drift
    ):
        # True times of the peer's store request, the ping, the pong and its
        # receipt.
        requested, pinged = 0.0, age
        answered = pinged + ping_s
        received = answered + pong_s
        peer_age = (answered - requested) * (1 + peer_drift)
        local = 1 + drift
        at = freshness.peer_confirmation_time(pinged * local, peer_age)
        now = (received + held_s) * local
        true_age = (received + held_s) - requested
        self.assertGreaterEqual(now - at, true_age * (1 - 0.004) - 1e-6)

    def test_an_answer_of_a_replica_that_is_behind_is_refused(self):
        state = freshness.Freshness()
        self.assertTrue(state.accept_store_answer(10, 1.0))
        self.assertFalse(state.accept_store_answer(9, 2.0))
        state.record_known_revision(12)
        self.assertFalse(state.accept_store_answer(11, 3.0))
        self.assertTrue(state.accept_store_answer(12, 4.0))

    def test_a_peer_confirms_only_the_same_configuration(self):
        state = freshness.Freshness()
        self.assertFalse(state.confirm_by_peer(1.0, 4, 5))
        self.assertTrue(state.confirm_by_peer(1.0, 5, 5))
        self.assertFalse(state.confirm_by_peer(9.0, 6, 5))
        # Revision 6 is known now, so a peer at 5 confirms nothing.
        self.assertFalse(state.confirm_by_peer(9.0, 5, 5))
        self.assertEqual(state.confirmed_at, 1.0)
        self.assertTrue(state.confirm_by_peer(9.0, 6, 6))
