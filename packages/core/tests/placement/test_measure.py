import itertools
import unittest
from unittest import mock

from wagtailtide_core.placement import fleet
from wagtailtide_core.placement import measure


class MeasureTest(unittest.TestCase):
    def test_a_new_server_costs_one_hash_for_each_model(self):
        # Guards against a cost of models times servers whenever a server
        # joins.
        known = fleet.Fleet()

        def put(number):
            free = (10, 10, 10)
            known.put(fleet.EngineState(f's{number}', 'z', 1, free))

        def look_up():
            return [known.find_server(f'm{n}', 5, 1, 0) for n in range(50)]

        for number in range(100):
            put(number)
        look_up()
        with mock.patch.object(fleet, '_score', wraps=fleet._score) as score:
            put(100)
            found = look_up()
        self.assertEqual(score.call_count, 50)
        # An instance that starts later finds the same servers.
        fresh = fleet.Fleet()
        for name in known.names():
            fresh.put(known.get(name))
        known = fresh
        self.assertEqual(found, look_up())

    def test_time_is_measured_with_the_given_clock(self):
        ticks = itertools.count()
        result = measure.time_plans(10, 5, lambda: next(ticks), ticks=3)
        self.assertEqual(result.median_s, 1)


if __name__ == '__main__':
    unittest.main()
