import types
import unittest

import anyio
import cbor2
from wagtailtide_gateway.control import class_loads
from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import server_state
from wagtailtide_testing import virtual_time

from tests import builders


def make_loads(process_start_ms=1, others_load=100):
    residency = builders.make_residency(['m1'], process_start_ms)
    state = server_state.ServerState(
        builders.make_server(residency=residency), others_load=others_load
    )
    view = types.SimpleNamespace(states={'s1': state})
    return class_loads.ClassLoads(view), state


def exchange(leader, loads, name='front-1', to='front-2'):
    """Report from an instance to a leader; return the update for another."""
    now = anyio.current_time()
    leader.section().receive(name, loads.section().make_report(), now)
    return leader.section().make_update(to, now)


class ClassLoadsTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_requests_of_one_instance_reach_the_others(self):
        first, state = make_loads()
        second, second_state = make_loads()
        leader, _ = make_loads()
        for priority in (0, 0, 1, 2, 2, 12):
            first.record_start(state, priority)
        update = exchange(leader, first)
        self.assertEqual(update, {'s1': [1, 1, 2, 2, 9, 1]})
        second.section().apply(update, anyio.current_time())
        found = [second.less_urgent(second_state, p) for p in (0, 1, 2, 9)]
        self.assertEqual(found, [4, 3, 1, 0])

    @virtual_time.run_without_io
    async def test_own_requests_are_not_in_the_update(self):
        first, state = make_loads()
        leader, _ = make_loads()
        first.record_start(state, 2)
        self.assertEqual(exchange(leader, first, to='front-1'), {})

    @virtual_time.run_without_io
    async def test_request_that_ended_does_not_count(self):
        loads, state = make_loads()
        loads.record_start(state, 2)
        self.assertEqual(loads.less_urgent(state, 0), 1)
        loads.record_end(state, 2)
        self.assertEqual(loads.less_urgent(state, 0), 0)
        self.assertEqual(loads.section().make_report(), {})

    @virtual_time.run_without_io
    async def test_loads_of_a_restarted_server_start_at_zero(self):
        # Guards against less urgent requests of a process that has ended,
        # which would hide urgent ones in the new process.
        loads, state = make_loads()
        loads.record_start(state, 2)
        loads.section().apply({'s1': [2, 9]}, anyio.current_time())
        new_state = server_state.ServerState(
            builders.make_server(residency=builders.make_residency(['m1'], 2))
        )
        loads._servers.states['s1'] = new_state
        self.assertEqual(loads.less_urgent(new_state, 0), 0)
        self.assertEqual(loads.section().make_report(), {})

    @virtual_time.run_without_io
    async def test_old_loads_are_not_known(self):
        loads, _ = make_loads()
        self.assertFalse(loads.is_known(anyio.current_time()))
        loads.section().apply({}, anyio.current_time())
        self.assertTrue(loads.is_known(anyio.current_time()))
        await anyio.sleep(class_loads.LOADS_TTL_S + 0.1)
        self.assertFalse(loads.is_known(anyio.current_time()))

    @virtual_time.run_without_io
    async def test_silent_instance_is_forgotten(self):
        loads, state = make_loads()
        leader, _ = make_loads()
        loads.record_start(state, 2)
        self.assertTrue(exchange(leader, loads))
        await anyio.sleep(class_loads.REPORT_TTL_S + 0.1)
        other, _ = make_loads()
        self.assertEqual(exchange(leader, other, 'front-3'), {})

    @virtual_time.run_without_io
    async def test_new_term_starts_without_reports(self):
        loads, state = make_loads()
        leader, _ = make_loads()
        loads.record_start(state, 2)
        exchange(leader, loads)
        leader.section().start_term()
        self.assertEqual(
            leader.section().make_update('front-2', anyio.current_time()), {}
        )

    @virtual_time.run_without_io
    async def test_malformed_section_leaves_the_reports_as_they_were(self):
        loads, state = make_loads()
        leader, _ = make_loads()
        loads.record_start(state, 2)
        before = exchange(leader, loads)
        for value in (
            7,
            {'s1': 3},
            {'s1': [1]},
            {'s1': [0, 3]},
            {'s1': [10, 3]},
            {'s1': [1, -1]},
            {'s1': [1, 1.5]},
            {3: [1, 1]},
        ):
            with (
                self.subTest(value=value),
                self.assertRaises((TypeError, ValueError, fields.BadMessage)),
            ):
                leader.section().receive('front-1', value, 0.0)
        now = anyio.current_time()
        self.assertEqual(leader.section().make_update('front-2', now), before)

    @virtual_time.run_without_io
    async def test_totals_by_priority(self):
        loads, state = make_loads(others_load=5)
        state.own_load = 3
        for priority in (0, 1, 2):
            loads.record_start(state, priority)
        loads.section().apply({'s1': [2, 4]}, 0.0)
        self.assertEqual(loads.totals(), {0: 2, 1: 1, 2: 5})


class SizeTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_messages_of_large_fleets_are_small(self):
        # 124 instances, 56 servers with 24 requests of two less urgent
        # classes. Guards against a section that fills the leader's link.
        states = {
            f'engine-{n}': server_state.ServerState(
                builders.make_server(f'engine-{n}'), others_load=24
            )
            for n in range(56)
        }
        view = types.SimpleNamespace(states=states)
        loads = [class_loads.ClassLoads(view) for _ in range(124)]
        for number, state in enumerate(24 * list(states.values())):
            loads[number % 124].record_start(state, 1 + number % 2)
        now = anyio.current_time()
        reports = [x.section().make_report() for x in loads]
        for number, report in enumerate(reports):
            loads[0].section().receive(f'front-{number}', report, now)
        update = loads[0].section().make_update('front-1', now)
        self.assertLess(max(len(cbor2.dumps(x)) for x in reports), 250)
        self.assertLess(len(cbor2.dumps(update)), 1_000)
