import collections
import unittest

from wagtailtide_gateway.decisions import peer_choice


def make_candidates(count, capacity=1.0):
    return tuple(
        peer_choice.Candidate(f'front-{number}', capacity)
        for number in range(count)
    )


class ChoosePeersTest(unittest.TestCase):
    def test_instance_is_not_its_own_peer(self):
        for name in ('front-0', 'front-1'):
            chosen = peer_choice.choose_peers(name, make_candidates(4))
            self.assertEqual(len(chosen), 3)
            self.assertNotIn(name, chosen)

    def test_choice_changes_little_when_a_candidate_goes(self):
        candidates = make_candidates(100)
        chosen = peer_choice.choose_peers('x', candidates)
        rest = [c for c in candidates if c.instance != chosen[0]]
        changed = peer_choice.choose_peers('x', rest)
        self.assertEqual(set(chosen[1:]) - set(changed), set())

    def test_load_follows_the_capacity(self):
        # A zone of 33 instances is cut off; the others forward for it.
        small = make_candidates(80, capacity=0.36)
        large = tuple(
            peer_choice.Candidate(f'large-{number}', 2.1)
            for number in range(20)
        )
        counts = collections.Counter()
        for number in range(33):
            counts.update(
                peer_choice.choose_peers(f'cut-{number}', small + large)
            )
        of_large = sum(counts[c.instance] for c in large) / len(large)
        of_small = sum(counts[c.instance] for c in small) / len(small)
        self.assertGreater(of_large, 3 * of_small)
