import dataclasses
import unittest

from wagtailtide_gateway.decisions import placement

from tests import builders

MODELS = {
    name: builders.make_model(name) for name in ('a', 'b', 'c', 'd', 'e', 'f')
}


def plan(engines, demand, **changes):
    snapshot = builders.make_snapshot(engines, demand, **changes)
    return placement.plan(snapshot, MODELS)


class PlacementTest(unittest.TestCase):
    def test_one_plan_does_not_evict_all_copies_of_a_model(self):
        # Three models that got requests at the same time used to evict one
        # copy each of the same model.
        engines = [
            builders.make_engine_view(f'e{i}', ('a', 'b')) for i in range(3)
        ]
        demand = [
            builders.make_demand('a', 3.0),
            builders.make_demand('b', 20.0),
            *(builders.make_demand(m, 3.0, waiting=2) for m in 'cde'),
        ]
        evicted = [v for step in plan(engines, demand) for v in step.victims]
        self.assertLess(evicted.count('a'), 3)

    def test_idle_only_copy_is_not_evicted_for_a_deferrable_request(self):
        # Guards against a low-demand request that evicts a model just before
        # requests for it, which cannot wait for a load, arrive again.
        engines = [builders.make_engine_view('e1', ('a', 'b'))]
        rare = builders.make_demand('c', 1.0, waiting=1, deferrable=True)
        idle = [
            builders.make_demand('a', 0.0, idle=True),
            builders.make_demand('b', 9.0),
        ]
        self.assertEqual(plan(engines, [rare, *idle]), [])

    def test_model_whose_other_copy_still_loads_is_not_evicted(self):
        # A busy model got a second copy. While that one was loaded from the
        # weight store, the first copy was evicted as one of two, and all
        # callers of the model were refused for seven seconds.
        engines = [builders.make_engine_view('e1', ('a', 'b'))]
        demand = [
            builders.make_demand('a', 9.0),
            builders.make_demand('b', 30.0),
            builders.make_demand('c', 3.0, waiting=3, deferrable=True),
        ]
        both_serve = {'a': 2, 'b': 2}
        (step,) = plan(engines, demand, copies=both_serve)
        self.assertEqual(('a',), step.victims)
        one_loads = {'a': 1, 'b': 2}
        self.assertEqual(
            [],
            plan(engines, demand, copies=both_serve, serving_copies=one_loads),
        )

    def test_idle_deferrable_model_is_evicted(self):
        engines = [
            builders.make_engine_view('e1', ('a', 'b'), on_disk={'a', 'c'})
        ]
        demand = [
            builders.make_demand('c', 1.0, waiting=1, deferrable=True),
            builders.make_demand('a', 0.0, idle=True, deferrable=True),
            builders.make_demand('b', 9.0),
        ]
        (step,) = plan(engines, demand)
        self.assertEqual(('c', ('a',)), (step.model, step.victims))

    def test_engine_with_a_copy_on_disk_is_preferred(self):
        # Guards against loads of several seconds from the weight store where a
        # load of one second from disk is possible.
        engines = [
            builders.make_engine_view('e1'),
            builders.make_engine_view('e2', on_disk=frozenset({'c'})),
        ]
        (step,) = plan(engines, [builders.make_demand('c', 2.0, waiting=1)])
        self.assertEqual(('e2', False), (step.engine, step.from_store))

    def test_low_demand_model_waits_for_the_engine_with_a_disk_copy(self):
        engines = [builders.make_engine_view('e1')]
        demand = [builders.make_demand('c', 0.5, waiting=1)]
        self.assertEqual(plan(engines, demand, cached=frozenset({'c'})), [])

    def test_weight_store_load_limit_is_kept(self):
        # Guards against more loads in a window than the weight store allows.
        engines = [builders.make_engine_view(f'e{i}') for i in range(4)]
        demand = [builders.make_demand(m, 5.0, waiting=3) for m in 'abcd']
        steps = plan(engines, demand, store_loads_left=2)
        self.assertEqual(2, sum(step.from_store for step in steps))

    def test_deferrable_loads_leave_engines_for_urgent_requests(self):
        # Many models with low demand get requests at once. Each load blocks
        # its engine for six seconds; if all engines load, none can follow a
        # change of demand.
        engines = [builders.make_engine_view(f'e{i}') for i in range(4)]
        rare = [
            builders.make_demand(m, 3.0, waiting=3, deferrable=True)
            for m in 'abcd'
        ]
        self.assertEqual(1, len(plan(engines, rare)))
        self.assertEqual([], plan(engines, rare, deferrable_loads=1))
        urgent = builders.make_demand('e', 5.0, waiting=3)
        self.assertEqual(2, len(plan(engines, [urgent, *rare])))

    def test_unserved_model_replaces_an_idle_only_copy_in_the_end(self):
        # The only copy of a model that nobody asked for was kept for the whole
        # day, while another model's callers were refused.
        engines = [builders.make_engine_view('e1', ('a', 'b'))]
        busy = builders.make_demand('b', 9.0)
        idle = builders.make_demand('a', 0.0, idle=True)
        rare = builders.make_demand(
            'c', 1.0, waiting=1, deferrable=True, unserved=1, unserved_s=1.0
        )
        self.assertEqual([], plan(engines, [rare, idle, busy]))
        rare = dataclasses.replace(rare, unserved=3, unserved_s=12.0)
        (step,) = plan(engines, [rare, idle, busy])
        self.assertEqual(('c', ('a',)), (step.model, step.victims))
        used = builders.make_demand('a', 3.0)
        self.assertEqual([], plan(engines, [rare, used, busy]))

    def test_overdue_model_does_not_wait_for_the_engine_with_its_copy(self):
        # The engine that had the model on its disk was busy with other loads,
        # and its callers waited until they gave up.
        engines = [builders.make_engine_view('e1')]
        for unserved_s, count in ((5.0, 0), (6.5, 1)):
            demand = [
                builders.make_demand(
                    'c', 0.5, waiting=1, unserved=1, unserved_s=unserved_s
                )
            ]
            steps = plan(engines, demand, cached=frozenset({'c'}))
            self.assertEqual(count, len(steps))

    def test_overdue_deferrable_loads_may_use_half_of_the_engines(self):
        engines = [builders.make_engine_view(f'e{i}') for i in range(4)]
        for unserved_s, count in ((5.0, 1), (6.5, 2)):
            rare = [
                builders.make_demand(
                    m, 3.0, waiting=3, deferrable=True, unserved_s=unserved_s
                )
                for m in 'abcd'
            ]
            self.assertEqual(count, len(plan(engines, rare)))

    def test_engine_that_loads_many_adapters_is_spared(self):
        # While an engine loaded a rare model for seven seconds, all requests
        # with an adapter that it did not have yet were refused.
        engines = [
            builders.make_engine_view('e1', ('a', 'b')),
            builders.make_engine_view('e2', ('d', 'e'), load=12.0),
        ]
        demand = [
            builders.make_demand('a', 9.0, adapter_misses_per_s=0.5),
            *(builders.make_demand(m, 9.0) for m in 'de'),
            builders.make_demand('b', 0.0, idle=True, deferrable=True),
            builders.make_demand('e', 0.0, idle=True, deferrable=True),
            builders.make_demand('c', 1.0, waiting=1, deferrable=True),
        ]
        (step,) = plan(engines, demand)
        self.assertEqual('e2', step.engine)

    def test_rare_model_is_evicted_rather_than_adapters_are_blocked(self):
        # Requests that lack an adapter all fail while their engine is blocked.
        # They counted no more than requests that are only delayed.
        engines = [
            builders.make_engine_view('e1', ('a', 'b')),
            builders.make_engine_view('e2', ('d', 'e')),
        ]
        demand = [
            builders.make_demand('a', 9.0, adapter_misses_per_s=0.8),
            builders.make_demand('d', 9.0),
            builders.make_demand('b', 0.0, idle=True, deferrable=True),
            builders.make_demand('e', 0.6, deferrable=True),
            builders.make_demand('c', 2.0, waiting=2, deferrable=True),
        ]
        (step,) = plan(engines, demand)
        self.assertEqual('e2', step.engine)

    def test_model_without_running_requests_is_evicted_first(self):
        # An unload waits for the running requests of its model. Engines were
        # blocked for up to five seconds before the load began.
        engines = [
            builders.make_engine_view('e1', ('a', 'b')),
            builders.make_engine_view('e2', ('d', 'e'), load=12.0),
        ]
        demand = [
            *(builders.make_demand(m, 9.0, running=9) for m in 'ad'),
            builders.make_demand('b', 1.0, running=1, deferrable=True),
            builders.make_demand('e', 1.0, deferrable=True),
            builders.make_demand('c', 2.0, waiting=2, deferrable=True),
        ]
        (step,) = plan(engines, demand)
        self.assertEqual(('e2', ('e',)), (step.engine, step.victims))

    def test_copies_follow_busy_slots(self):
        engines = [
            builders.make_engine_view('e1', ('a',)),
            builders.make_engine_view('e2'),
            builders.make_engine_view('e3'),
        ]
        (step,) = plan(engines, [builders.make_demand('a', 30.0)])
        self.assertEqual('a', step.model)
        self.assertNotEqual('e1', step.engine)

    def test_no_further_copy_while_engines_have_capacity(self):
        # Demand moves to a few models, and one of them has free slots on its
        # engine. A further load for it blocked two engines that another model
        # needed, which then lost its only copy.
        engines = [
            builders.make_engine_view('e1', ('a',)),
            builders.make_engine_view('e2'),
        ]
        demand = [builders.make_demand('a', 12.0)]
        self.assertEqual([], plan(engines, demand, utilisation={'a': 0.5}))
        self.assertEqual(1, len(plan(engines, demand, utilisation={'a': 0.9})))
        with_waiting = [builders.make_demand('a', 12.0, waiting=1)]
        self.assertEqual(
            1, len(plan(engines, with_waiting, utilisation={'a': 0.5}))
        )

    def test_recently_loaded_model_is_not_evicted(self):
        # Guards against two models that evict each other before they serve.
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

    def test_models_are_preloaded_only_before_the_first_request(self):
        engines = [builders.make_engine_view('e1')]
        before = plan(engines, [], since_first_request_s=0.0)
        after = plan(engines, [], since_first_request_s=1.0)
        self.assertEqual((1, 0), (len(before), len(after)))


class IdleTest(unittest.TestCase):
    def test_idle_limit_is_shorter_for_frequent_requests(self):
        # Guards against memory kept for models without demand.
        self.assertTrue(placement.is_idle(1.5, rate_per_s=8.0))
        self.assertFalse(placement.is_idle(1.5, rate_per_s=0.5))
        self.assertTrue(placement.is_idle(4.5, rate_per_s=0.5))


class OrderTest(unittest.TestCase):
    def test_longest_unserved_model_is_first_among_equal_ones(self):
        # Models with equal demand were loaded in the order of their names, so
        # that the last ones were never served.
        demand = [
            builders.make_demand('a', 1.0, waiting=1, unserved_s=2.0),
            builders.make_demand('b', 1.0, waiting=1, unserved_s=3.0),
            builders.make_demand('c', 1.0, waiting=1, unserved_s=1.0),
        ]
        snapshot = builders.make_snapshot([], demand)
        self.assertEqual(
            ['b', 'a', 'c'], placement.underprovisioned_models(snapshot)
        )

    def test_overloaded_model_precedes_a_low_demand_first_copy(self):
        # Guards against an engine that loads a model for one request while
        # dozens of requests a second for an overloaded model are refused.
        engines = [
            builders.make_engine_view('e1', ('a',)),
            builders.make_engine_view('e2'),
        ]
        demand = [
            builders.make_demand('a', 70.0),
            builders.make_demand('b', 1.0, waiting=1),
        ]
        self.assertEqual(
            placement.underprovisioned_models(
                builders.make_snapshot(engines, demand)
            ),
            ['a', 'b'],
        )


class LimitTest(unittest.TestCase):
    def test_engine_with_a_limit_keeps_its_least_requested_models(self):
        demand = {
            name: builders.make_demand(name, rate_per_s=rate)
            for name, rate in (('busy', 3.0), ('rare', 0.4), ('other', 1.0))
        }
        models = {'busy', 'rare', 'other', 'unrequested'}
        rows = {
            None: models,
            5.0: models,
            1.6: {'rare', 'other', 'unrequested'},
            1.0: {'rare', 'unrequested'},
            0.2: {'unrequested'},
        }
        for limit_per_s, expected in rows.items():
            with self.subTest(limit_per_s):
                self.assertEqual(
                    placement.within_limit(models, demand, limit_per_s),
                    expected,
                )

    def test_engine_with_a_limit_gets_only_models_that_it_can_serve(self):
        # Guards against models that are never served because the engines
        # without a limit are full of requested ones.
        demand = [
            builders.make_demand('busy', 6.0, rate_per_s=4.0),
            builders.make_demand('rare', 1.0, rate_per_s=0.4),
            builders.make_demand('old', 6.0, rate_per_s=4.0),
        ]
        by_name = {d.model: d for d in demand}
        limited = placement.with_limit(
            builders.make_engine_view('e1', ['old'], free_mb=0.0),
            by_name,
            1.6,
        )
        other = builders.make_engine_view('e2', ['old'], free_mb=0.0)
        self.assertEqual(limited.surplus, {'old'})
        snapshot = builders.make_snapshot(
            [limited, other],
            demand,
            copies={'old': 1},
            serving_copies={'old': 1},
            cached=frozenset(),
        )
        models = {n: builders.make_model(n) for n in by_name}
        steps = placement.plan(snapshot, models)
        loads = {(step.engine, step.model) for step in steps}
        self.assertIn(('e1', 'rare'), loads)
        self.assertNotIn(('e1', 'busy'), loads)
