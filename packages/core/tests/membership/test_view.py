import dataclasses
import unittest

import hypothesis
from hypothesis import strategies
from wagtailtide_core.gossip import members
from wagtailtide_core.membership import detector
from wagtailtide_core.membership import view

ME = view.Member('a', '127.0.0.1:1', 'gulberg', 'lahore', 1)
OTHER = view.Member('b', '127.0.0.1:2', 'anarkali', 'lahore', 1)
UPDATES = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 4), strategies.sampled_from(view.State)
    ),
    min_size=1,
    max_size=8,
)


def in_state(member, incarnation, value):
    return dataclasses.replace(member, incarnation=incarnation, state=value)


class MemberViewTest(unittest.TestCase):
    """Guards against wrong or outdated states of members."""

    def setUp(self):
        self.view = view.MemberView(ME, 0.0)
        self.view.merge(OTHER, 0.0)

    def test_an_unrefuted_suspect_fails_and_gets_no_links(self):
        self.view.suspect('b', 10.0)
        self.assertEqual(self.view.tick(12.9), [])
        self.assertIn('b', self.view.peers())
        [failed] = self.view.tick(13.0)
        self.assertEqual(failed.state, view.State.FAILED)
        self.assertNotIn('b', self.view.peers())

    def test_a_suspicion_is_refuted_by_a_higher_incarnation(self):
        suspicion = in_state(ME, 1, view.State.SUSPECT)
        self.assertTrue(self.view.merge(suspicion, 5.0))
        self.assertEqual(self.view.local_member.incarnation, 2)
        peer = view.MemberView(OTHER, 0.0)
        peer.merge(ME, 0.0)
        peer.suspect('a', 4.0)
        peer.merge(self.view.local_member, 6.0)
        self.assertEqual(peer.tick(20.0), [])
        self.assertIn('a', peer.live())

    def test_a_restarted_member_overrides_its_own_failure(self):
        # While the store is down, a new process starts at a low incarnation.
        failed = in_state(ME, 7, view.State.FAILED)
        self.view.merge(failed, 5.0)
        self.assertGreater(self.view.local_member.order, failed.order)

    def test_a_removed_member_is_not_brought_back_by_a_slower_peer(self):
        self.view.set_listed_names(['a'])
        self.view.suspect('b', 10.0)
        self.view.tick(13.0)
        self.view.tick(73.1)
        self.assertIsNone(self.view.get('b'))
        old = in_state(OTHER, 1, view.State.FAILED)
        self.assertFalse(self.view.merge(old, 73.2, age_s=60.2))
        self.assertIsNone(self.view.get('b'))

    def test_a_failed_member_stays_while_the_list_cannot_be_read(self):
        self.view.suspect('b', 10.0)
        self.view.tick(13.0)
        self.view.tick(9_000.0)
        self.assertEqual(self.view.zones(), {'gulberg', 'anarkali'})

    @hypothesis.given(UPDATES, strategies.randoms(use_true_random=False))
    @hypothesis.settings(derandomize=True)
    def test_the_order_of_updates_does_not_matter(self, updates, rng):
        results = []
        for _ in range(2):
            rng.shuffle(updates)
            merged = view.MemberView(ME, 0.0)
            for incarnation, value in updates:
                update = in_state(OTHER, incarnation, value)
                record = members.to_record(update)
                merged.merge(members.from_record(record), 1.0)
            results.append(merged.get('b'))
        self.assertEqual(*results)


class DetectorTest(unittest.TestCase):
    """Guards against silent links and stalls that are not detected."""

    def test_a_silent_link_gets_a_second_connection_once(self):
        health = detector.LinkHealth(0.0)
        self.assertEqual(health.check(2.9), detector.LinkAction.NONE)
        self.assertEqual(health.check(3.0), detector.LinkAction.OPEN_SECOND)
        self.assertEqual(health.check(3.1), detector.LinkAction.NONE)

    def test_a_stalled_loop_is_reported_once(self):
        stall = detector.StallDetector(0.5, 0.0)
        self.assertFalse(stall.tick(0.6))
        self.assertTrue(stall.tick(3.2))
        self.assertFalse(stall.tick(3.7))
