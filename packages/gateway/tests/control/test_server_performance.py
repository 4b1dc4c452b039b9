import types
import unittest

import anyio
from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import sections
from wagtailtide_gateway.control import server_performance
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.decisions import server_capacity
from wagtailtide_testing import virtual_time

from tests import builders

SLOW = server_capacity.Capacity(0.5, 2.0)


def make_performance(observed=None, count=3, batches=None):
    states = {
        f's{i}': server_state.ServerState(builders.make_server(f's{i}'))
        for i in range(count)
    }
    view = types.SimpleNamespace(states=states)
    return view, server_performance.ServerPerformance(
        view, lambda: dict(observed or {}), lambda: dict(batches or {})
    )


def observe(slow='s0', count=3, pace=0.04):
    """Return observations of a fleet in which one server is slow."""
    return {
        f's{i}': [
            server_capacity.Observation(
                'm1', 0, 0, 50, 50 * pace * (2 if f's{i}' == slow else 1), 0.2
            )
        ]
        for i in range(count)
    }


async def exchange(leader, instance, times):
    for _ in range(times):
        await anyio.sleep(0.25)
        now = anyio.current_time()
        report = instance.make_report()
        leader.receive('front-2', report, now)
        instance.apply(leader.make_update('front-2', now), now)


class ServerPerformanceTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_leader_tells_the_instances_which_servers_are_slow(self):
        _, leader = make_performance()
        view, instance = make_performance(observe())
        await exchange(leader, instance, 12)
        found = {s: state.capacity for s, state in view.states.items()}
        self.assertGreater(found['s0'].slowdown, 1.5)
        self.assertEqual(found['s1'], server_capacity.NOMINAL)

    @virtual_time.run_without_io
    async def test_older_leader_leaves_the_estimates_for_a_while(self):
        # Guards against an estimate that is lost with its leader.
        view, instance = make_performance()
        instance.apply({'s0': [50, 200]}, 0.0)
        instance.apply(None, 0.0)
        self.assertEqual(view.states['s0'].capacity, SLOW)
        await anyio.sleep(server_performance.HOLD_S - 0.1)
        instance.make_report()
        self.assertEqual(view.states['s0'].capacity, SLOW)
        await anyio.sleep(0.2)
        instance.make_report()
        self.assertEqual(view.states['s0'].capacity, server_capacity.NOMINAL)

    @virtual_time.run_without_io
    async def test_instance_without_a_leader_uses_what_it_observes(self):
        view, instance = make_performance(observe())
        for _ in range(40):
            await anyio.sleep(0.25)
            instance.make_report()
        self.assertGreater(view.states['s0'].capacity.slowdown, 1.5)

    @virtual_time.run_without_io
    async def test_new_leader_starts_with_the_estimates_in_force(self):
        _view, instance = make_performance()
        instance.apply({'s0': [100, 200]}, 0.0)
        instance.start_term()
        update = instance.make_update('front-2', anyio.current_time())
        self.assertGreater(update['s0'][1], 150)

    @virtual_time.run_without_io
    async def test_new_process_of_a_server_starts_anew(self):
        view, leader = make_performance(observe())
        await exchange(leader, leader, 12)
        self.assertIn('s0', leader.make_update('x', anyio.current_time()))
        view.states['s0'] = server_state.ServerState(
            builders.make_server(
                's0', residency=builders.make_residency(process_start_ms=2)
            )
        )
        await anyio.sleep(0.25)
        now = anyio.current_time()
        leader.receive('front-2', {}, now)
        self.assertNotIn('s0', leader.make_update('front-2', now))

    @virtual_time.run_without_io
    async def test_malformed_values_change_nothing(self):
        view, instance = make_performance()
        instance.apply({'s0': [50, 200]}, 0.0)
        row = ['m1', 0, 1, 10, 400, 25]
        for report in (
            {'s0': row[:5]},
            {'s0': [*row[:3], -1, 400, 25]},
            {'s0': [*row[:3], 1.5, 400, 25]},
            {'s0': [*row[:4], 10**30, 25]},
            {'s0': [7, *row[1:]]},
            {'s0': ['m1', 0, 9, 10, 400, 25]},
        ):
            with (
                self.subTest(report=report),
                self.assertRaises(fields.BadMessage),
            ):
                instance.receive('front-2', report, 0.0)
        for update in ({'s0': [0, 100]}, {'s0': [50, 10**6]}):
            with (
                self.subTest(update=update),
                self.assertRaises(fields.BadMessage),
            ):
                instance.apply(update, 0.0)
        self.assertEqual(view.states['s0'].capacity, SLOW)

    @virtual_time.run_without_io
    async def test_changes_beyond_a_step_are_logged(self):
        _, instance = make_performance()
        with self.assertLogs(server_performance.LOG, 'INFO') as logs:
            for percent in (120, 180, 190, 200, 100):
                instance.apply({'s0': [100, percent]}, 0.0)
        self.assertEqual(
            [record.slowdown for record in logs.records], [1.8, 1.0]
        )

    @virtual_time.run_without_io
    async def test_leader_gets_what_the_batches_consist_of(self):
        # Guards against a leader that sees mixed batches as slow servers.
        rows = {'s0': {'m1': 0.5, 'm9': 0.5}, 's1': {'m1': 1.0}}
        view, instance = make_performance(batches=rows)
        received = []
        instance._shared.add_batch = lambda *args: received.append(args)
        await anyio.sleep(0.25)
        instance.make_report()
        report = instance.make_batch_report()
        self.assertEqual(report['s0'], ['m1', 500, 'm9', 500])
        instance.receive_batches('front-2', {**report, 'gone': ['m', 1]}, 0.0)
        service = view.states['s0'].server.service
        self.assertEqual(
            received, [(s, service, batch) for s, batch in rows.items()]
        )

    @virtual_time.run_without_io
    async def test_malformed_batches_change_nothing(self):
        _, instance = make_performance()
        received = []
        instance._shared.add_batch = lambda *args: received.append(args)
        for row in (
            ['m1'],
            ['m1', -1],
            ['m1', 1.5],
            ['m1', 10**30],
            [7, 5],
            'm1',
            None,
        ):
            with self.subTest(row=row), self.assertRaises(fields.BadMessage):
                instance.receive_batches(
                    'front-2', {'s1': ['m1', 5], 's0': row}, 0.0
                )
        self.assertEqual(received, [])

    def test_sections_have_their_numbers(self):
        _, instance = make_performance()
        self.assertIs(
            instance.batch_section().number, sections.Number.SERVER_BATCHES
        )
        self.assertIs(
            instance.section().number, sections.Number.SERVER_PERFORMANCE
        )
