import unittest

from wagtailtide_gateway.decisions import large_requests

FLEETS = ((124, 56), (36, 30), (3, 5), (1, 1))


def permitted(instances, engines, half, count):
    """Return the requests that each instance may send to each engine."""
    return [
        [
            large_requests.permitted(
                large_requests.Turn(rank, instances, half),
                engine,
                engines,
                count,
            )
            for engine in range(engines)
        ]
        for rank in range(instances)
    ]


class TurnTest(unittest.TestCase):
    def test_instances_in_two_turns_send_what_fits_at_most(self):
        # Guards against a turn that begins before all know the requests of
        # the one before.
        for instances, engines in FLEETS:
            for count in range(10):
                turns = [
                    permitted(instances, engines, half, count)
                    for half in (6, 7, 8)
                ]
                for first, second in (turns[:2], turns[1:]):
                    for engine in range(engines):
                        total = sum(
                            max(one[engine], other[engine])
                            for one, other in zip(first, second, strict=True)
                        )
                        with self.subTest(fleet=(instances, engines)):
                            self.assertLessEqual(total, count)

    def test_turns_are_even(self):
        # Guards against an instance that has no engine for large requests.
        for instances, engines in FLEETS[:2]:
            sums = [sum(row) for row in permitted(instances, engines, 5, 8)]
            self.assertLessEqual(max(sums) - min(sums), 1)
            self.assertGreaterEqual(min(sums), 3)

    def test_every_instance_gets_a_turn_for_the_largest_requests(self):
        # Guards against requests that only some instances could ever send.
        reached = [False] * 124
        for half in range(6):
            rows = permitted(124, 56, half, 1)
            reached = [a or any(b) for a, b in zip(reached, rows, strict=True)]
        self.assertTrue(all(reached))


class LargeRequestsTest(unittest.TestCase):
    def test_rise_ends_when_the_others_know_of_it(self):
        large = large_requests.LargeRequests()
        large.record_wanted('m1', 8_000, True, 10.0)
        self.assertEqual(large.rise('m1', 2.0, 12.0), 8_000)
        self.assertEqual(large.rise('m1', 2.0, 12.1), 0)

    def test_steady_demand_is_no_rise(self):
        # Guards against large requests that always wait for a turn where no
        # other instance gets any.
        large = large_requests.LargeRequests()
        for tenth in range(40):
            large.record_wanted('m1', 8_000, True, tenth / 10.0)
        self.assertEqual(large.rise('m1', 1.0, 3.95), 0)

    def test_requests_of_the_usual_size_are_no_rise(self):
        large = large_requests.LargeRequests()
        large.record_wanted('m1', 1_100, False, 10.0)
        self.assertEqual(large.rise('m1', 2.0, 10.0), 0)

    def test_sent_requests_are_forgotten(self):
        # Guards against a table that grows with each restart of a server.
        large = large_requests.LargeRequests()
        for number in range(100):
            large.record_sent(('s1', number), 100.0 * number)
        self.assertEqual(len(large._sent), 1)
