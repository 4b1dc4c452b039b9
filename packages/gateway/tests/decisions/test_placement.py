import unittest

from wagtailtide_gateway.decisions import placement

from tests import builders

MODELS = {
    name: builders.make_model(name) for name in ('a', 'b', 'c', 'd', 'e', 'f')
}


def plan(engines, demand, **changes):
    situation = builders.make_situation(engines, demand, **changes)
    return placement.plan(situation, MODELS)


class PlacementTest(unittest.TestCase):
    def test_one_plan_does_not_displace_all_copies_of_a_model(self):
        # Guards against a fault of the first played day: three models that
        # were asked for at once each displaced a copy of the same model.
        engines = [
            builders.make_engine_view(f'e{i}', ('a', 'b')) for i in range(3)
        ]
        demand = [
            builders.make_demand('a', 3.0),
            builders.make_demand('b', 20.0),
            *(builders.make_demand(m, 3.0, waiting=2) for m in 'cde'),
        ]
        displaced = [v for step in plan(engines, demand) for v in step.victims]
        self.assertLess(displaced.count('a'), 3)

    def test_idle_only_copy_stays_when_one_patient_request_waits(self):
        # Guards against rare requests that displace a model just before its
        # callers, who cannot wait for a load, come back to it.
        engines = [builders.make_engine_view('e1', ('a', 'b'))]
        rare = builders.make_demand('c', 1.0, waiting=1, patient=True)
        idle = [
            builders.make_demand('a', 0.0, idle=True),
            builders.make_demand('b', 9.0),
        ]
        self.assertEqual(plan(engines, [rare, *idle]), [])

    def test_idle_patient_model_makes_room(self):
        engines = [
            builders.make_engine_view('e1', ('a', 'b'), on_disk={'a', 'c'})
        ]
        demand = [
            builders.make_demand('c', 1.0, waiting=1, patient=True),
            builders.make_demand('a', 0.0, idle=True, patient=True),
            builders.make_demand('b', 9.0),
        ]
        (step,) = plan(engines, demand)
        self.assertEqual(('c', ('a',)), (step.model, step.victims))

    def test_engine_with_a_copy_on_disk_is_preferred(self):
        # Guards against loads of seconds from the weight store where one of
        # a second was possible.
        engines = [
            builders.make_engine_view('e1'),
            builders.make_engine_view('e2', on_disk=frozenset({'c'})),
        ]
        (step,) = plan(engines, [builders.make_demand('c', 2.0, waiting=1)])
        self.assertEqual(('e2', False), (step.engine, step.from_store))

    def test_rare_model_waits_for_the_engine_that_has_it_on_disk(self):
        engines = [builders.make_engine_view('e1')]
        demand = [builders.make_demand('c', 0.5, waiting=1)]
        self.assertEqual(plan(engines, demand, cached=frozenset({'c'})), [])

    def test_weight_store_rate_is_kept(self):
        # Guards the limit on loads in any window.
        engines = [builders.make_engine_view(f'e{i}') for i in range(4)]
        demand = [builders.make_demand(m, 5.0, waiting=3) for m in 'abcd']
        steps = plan(engines, demand, store_loads_left=2)
        self.assertEqual(2, sum(step.from_store for step in steps))

    def test_loads_for_patient_requests_leave_engines_to_urgent_ones(self):
        # The load pattern: many rare models are asked for at once. Each load
        # keeps its engine for six seconds; when demand then moves, there is
        # no engine that could follow it.
        engines = [builders.make_engine_view(f'e{i}') for i in range(4)]
        rare = [
            builders.make_demand(m, 3.0, waiting=3, patient=True)
            for m in 'abcd'
        ]
        self.assertEqual(1, len(plan(engines, rare)))
        self.assertEqual([], plan(engines, rare, patient_loads=1))
        urgent = builders.make_demand('e', 5.0, waiting=3)
        self.assertEqual(2, len(plan(engines, [urgent, *rare])))

    def test_busy_model_gets_copies_by_its_slots(self):
        engines = [
            builders.make_engine_view('e1', ('a',)),
            builders.make_engine_view('e2'),
            builders.make_engine_view('e3'),
        ]
        (step,) = plan(engines, [builders.make_demand('a', 30.0)])
        self.assertEqual('a', step.model)
        self.assertNotEqual('e1', step.engine)

    def test_busy_model_whose_engines_have_room_gets_no_further_copy(self):
        # The load pattern: demand moves to a few models. One of them fits on
        # its engine; a load for it, as once ordered, kept two engines from
        # another model that then lost its only copy.
        engines = [
            builders.make_engine_view('e1', ('a',)),
            builders.make_engine_view('e2'),
        ]
        demand = [builders.make_demand('a', 12.0)]
        self.assertEqual([], plan(engines, demand, fills={'a': 0.5}))
        self.assertEqual(1, len(plan(engines, demand, fills={'a': 0.9})))
        waited_for = [builders.make_demand('a', 12.0, waiting=1)]
        self.assertEqual(1, len(plan(engines, waited_for, fills={'a': 0.5})))

    def test_just_loaded_model_is_not_displaced(self):
        # Guards against two models that take turns without serving anyone.
        engines = [
            builders.make_engine_view(
                'e1', ('a', 'b'), loaded_at={'a': 99.0, 'b': 99.5}
            )
        ]
        demand = [builders.make_demand('c', 30.0, waiting=9)]
        self.assertEqual(plan(engines, demand), [])

    def test_load_never_exceeds_the_memory_of_an_engine(self):
        # Guards the invariant that memory is never overcommitted.
        engines = [builders.make_engine_view('e1', ('a',), free_mb=60_000.0)]
        demand = [
            builders.make_demand('a', 50.0),
            builders.make_demand('b', 5.0, waiting=2),
        ]
        for step in plan(engines, demand):
            freed = sum(MODELS[v].weights_mb for v in step.victims)
            self.assertLessEqual(
                MODELS[step.model].weights_mb, 60_000.0 + freed
            )

    def test_unused_memory_is_filled_only_before_the_first_request(self):
        engines = [builders.make_engine_view('e1')]
        before = plan(engines, [], observed_s=0.0)
        after = plan(engines, [], observed_s=1.0)
        self.assertEqual((1, 0), (len(before), len(after)))


class IdleTest(unittest.TestCase):
    def test_busy_model_counts_as_idle_sooner_than_a_rare_one(self):
        # Guards against demand that has moved on and still holds memory.
        self.assertTrue(placement.is_idle(1.5, rate_per_s=8.0))
        self.assertFalse(placement.is_idle(1.5, rate_per_s=0.5))
        self.assertTrue(placement.is_idle(4.5, rate_per_s=0.5))


class OrderTest(unittest.TestCase):
    def test_overloaded_model_goes_before_a_rare_first_copy(self):
        # Guards against engines that load for one request while dozens a
        # second are refused for a further copy of another model.
        engines = [
            builders.make_engine_view('e1', ('a',)),
            builders.make_engine_view('e2'),
        ]
        demand = [
            builders.make_demand('a', 70.0),
            builders.make_demand('b', 1.0, waiting=1),
        ]
        self.assertEqual(
            placement.lacking(builders.make_situation(engines, demand)),
            ['a', 'b'],
        )
