import random
import unittest

from wagtailtide_testing.standins import prefix_cache

PROMPT = 'x' * 64 + 'y' * 64


def make_cache(**fields):
    values = {'capacity': 10, 'lag_s': 5, 'gap_rate': 0.0, **fields}
    return prefix_cache.PrefixCache(rng=random.Random(1), **values)


class PrefixCacheTest(unittest.TestCase):
    def test_events_are_late_and_gaps_show_in_the_sequence(self):
        cache = make_cache(capacity=1_000, gap_rate=0.5)
        for number in range(100):
            cache.access('m@1', None, f'{number:064}', 0.0)
        self.assertEqual(cache.events(0, 4.9), [])
        seqs = [event['seq'] for event in cache.events(0, 5.0)]
        self.assertEqual(seqs, sorted(set(seqs)))
        self.assertTrue(20 < len(seqs) < 80)

    def test_a_prefix_is_found_until_it_is_evicted(self):
        cache = make_cache(capacity=2)
        cache.access('m@1', None, PROMPT, 0.0)
        self.assertEqual(cache.access('m@1', None, PROMPT, 0.0), 1.0)
        self.assertEqual(cache.access('m@1', 'clerk', PROMPT, 0.0), 0.0)
        self.assertEqual(cache.access('m@1', None, PROMPT, 0.0), 0.0)

    def test_an_exported_prefix_is_found_where_it_is_imported(self):
        first, second = make_cache(), make_cache()
        first.access('m@1', None, PROMPT, 0.0)
        second.import_(first.export('m@1', None, PROMPT), 0.0)
        self.assertEqual(second.access('m@1', None, PROMPT, 0.0), 1.0)
