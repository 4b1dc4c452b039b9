import collections
import random
import unittest

from wagtailtide_gateway.decisions import server_choice


def make_candidate(id_, load=0.0, **changes):
    fields = {
        'id': id_,
        'zone': 'z1',
        'slots': 24,
        'load': load,
        'failure_rate': 0.0,
    }
    return server_choice.Candidate(**fields | changes)


class ServerChoiceTest(unittest.TestCase):
    def test_least_loaded_server_is_chosen(self):
        found = server_choice.choose_server(
            [make_candidate('a', 20.0), make_candidate('b', 3.0)],
            'z1',
            None,
            random.Random(1).random,
        )
        self.assertEqual(found.id, 'b')

    def test_prompts_with_a_shared_prefix_go_to_one_server(self):
        # Guards against processing the same prompt prefix on every server.
        rng = random.Random(2)
        servers = [make_candidate(f's{i}') for i in range(5)]
        found = {
            server_choice.choose_server(servers, 'z1', 1234, rng.random).id
            for _ in range(50)
        }
        self.assertEqual(len(found), 1)

    def test_shared_prefix_does_not_overload_its_server(self):
        preferred = server_choice.choose_server(
            [make_candidate('a'), make_candidate('b')],
            'z1',
            77,
            random.Random(3).random,
        ).id
        servers = [
            make_candidate(i, 15.0 if i == preferred else 2.0) for i in 'ab'
        ]
        found = server_choice.choose_server(
            servers, 'z1', 77, random.Random(3).random
        )
        self.assertNotEqual(found.id, preferred)

    def test_instances_with_the_same_stale_load_spread_requests(self):
        # Twelve instances choose servers between two exchanges of load data.
        servers = [make_candidate(f's{i}', 10.0) for i in range(6)]
        rng = random.Random(4)
        counts = collections.Counter(
            server_choice.choose_server(servers, 'z1', None, rng.random).id
            for _ in range(60)
        )
        self.assertLessEqual(max(counts.values()), 20)

    def test_failing_server_is_chosen_only_if_others_are_full(self):
        failing = make_candidate('a', 0.0, failure_rate=0.5)
        found = server_choice.choose_server(
            [failing, make_candidate('b', 12.0)],
            'z1',
            None,
            random.Random(5).random,
        )
        self.assertEqual(found.id, 'b')

    def test_parts_of_a_cost_add_up_to_it(self):
        # Guards against an explanation with other costs than the choice.
        for zone in ('z1', 'z2'):
            for preferred in ('a', 'b'):
                candidate = make_candidate('a', 5.0, failure_rate=0.25)
                args = (candidate, zone, 77, preferred)
                with self.subTest(zone=zone, preferred=preferred):
                    self.assertAlmostEqual(
                        sum(server_choice.cost_parts(*args)),
                        server_choice.cost(*args, lambda: 0.0),
                    )

    def test_preferred_server_does_not_depend_on_the_order(self):
        self.assertIsNone(server_choice.preferred_server(['a'], None))
        self.assertIsNone(server_choice.preferred_server([], 77))
        self.assertEqual(
            server_choice.preferred_server(['a', 'b', 'c'], 77),
            server_choice.preferred_server(['c', 'b', 'a'], 77),
        )
