import collections
import random
import unittest

from wagtailtide_gateway.decisions import server_choice
from wagtailtide_gateway.decisions import spread_choice


def make_candidate(id_, load=0.0, **changes):
    fields = {
        'id': id_,
        'zone': 'z1',
        'slots': 12,
        'load': load,
        'failure_rate': 0.0,
    }
    return server_choice.Candidate(**fields | changes)


def room(candidate):
    return candidate.slots - candidate.load


def count(candidates, renewed_share, draws=4_000, prefix_hash=None):
    rng = random.Random(5)
    return collections.Counter(
        spread_choice.choose(
            candidates, 'z1', prefix_hash, rng.random, renewed_share, room
        ).id
        for _ in range(draws)
    )


class SpreadChoiceTest(unittest.TestCase):
    def test_empty_server_gets_what_fills_it_to_the_level_of_the_others(self):
        # Guards against all instances choosing it until the next exchange.
        servers = [make_candidate('s0')]
        servers += [make_candidate(f's{i}', 6.0) for i in range(1, 56)]
        found = count(servers, 0.7)
        # Of 231 requests that are expected, 6 to 7 bring it to the others.
        self.assertLess(found['s0'] / 4_000, 12 / 231)
        self.assertGreater(found['s0'] / 4_000, 4 / 231)

    def test_with_fresh_loads_the_cheapest_server_is_chosen(self):
        servers = [make_candidate('a', 1.0), make_candidate('b', 6.0)]
        self.assertEqual(set(count(servers, 0.01)), {'a'})

    def test_slow_server_gets_fewer_requests(self):
        servers = [
            make_candidate(f's{i}', 3.0, slowdown=2.0 if i == 0 else 1.0)
            for i in range(6)
        ]
        found = count(servers, 0.7)
        self.assertLess(found['s0'], 0.5 * found['s1'])

    def test_full_servers_get_none(self):
        servers = [make_candidate('a', 12.0), make_candidate('b', 11.5)]
        self.assertEqual(set(count(servers, 0.7)), {'b'})
        self.assertIsNone(
            spread_choice.choose(
                servers[:1], 'z1', None, random.random, 0.7, room
            )
        )

    def test_prompts_with_a_shared_prefix_prefer_one_server(self):
        servers = [make_candidate(f's{i}', 6.0) for i in range(6)]
        found = count(servers, 0.02, prefix_hash=77)
        self.assertEqual(len(found), 1)
