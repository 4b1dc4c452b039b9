import types
import unittest
from unittest import mock

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_gateway.control import engine_memory
from wagtailtide_gateway.control import memory_reports
from wagtailtide_gateway.control import servers
from wagtailtide_testing import virtual_time

from tests import builders

CAPACITY = 100_000


def make_memory(process_start_ms=1):
    residency = builders.make_residency(['m1'], process_start_ms)
    state = servers.ServerState(builders.make_server(residency=residency))
    view = types.SimpleNamespace(states={'s1': state})
    return engine_memory.EngineMemory(view), state


def make_job(tokens=10_000, capacity=CAPACITY):
    engine = types.SimpleNamespace(kv_capacity_tokens=capacity, slots=10)
    return types.SimpleNamespace(
        service=types.SimpleNamespace(name='engines', engine=engine),
        req=types.SimpleNamespace(tokens=tokens, attempt_id='a1'),
        demand_key=('engines', 'm1'),
        memory_window=None,
        memory_chances={},
    )


def exchange(leader, memory, name='front-1'):
    """Report from a memory to a leader; return the update for another."""
    now = anyio.current_time()
    leader.section().receive(name, memory.section().make_report(), now)
    return leader.section().make_update('front-2', now)


async def make_memory_with_turn(rank, instances=124, engines=56):
    """Return an EngineMemory that knows the others as idle; its servers."""
    states = [
        servers.ServerState(
            builders.make_server(
                f's{index:02}', residency=builders.make_residency(['m1'], 1)
            )
        )
        for index in range(engines)
    ]
    view = types.SimpleNamespace(states={s.server.id: s for s in states})
    memory = engine_memory.EngineMemory(view)
    memory.section().apply(
        [{}, [], [rank, instances, 0]], anyio.current_time()
    )
    return memory, states


class LargeRequestTest(unittest.TestCase):
    """A fleet of 124 instances and 56 engines that was idle."""

    async def wait_s(self, rank, tokens):
        """Return the seconds that the first request of an instance waits."""
        memory, states = await make_memory_with_turn(rank)
        job, started_at = make_job(tokens), anyio.current_time()
        while not memory.fitting(job, states, 124, 1.5):
            await anyio.sleep(0.25)
            memory.section().apply([{}, [], [rank, 124, 0]], started_at)
        return anyio.current_time() - started_at

    @virtual_time.run_without_io
    async def test_single_large_request_does_not_wait(self):
        for rank in range(0, 124, 7):
            self.assertEqual(await self.wait_s(rank, 11_000), 0.0)

    @virtual_time.run_without_io
    async def test_larger_one_waits_until_the_others_would_be_known(self):
        # 60,000 of 100,000 tokens: another one would exceed the memory.
        waits = [await self.wait_s(rank, 60_000) for rank in range(124)]
        self.assertLessEqual(max(waits), 2.0 * 124 / 120 + 0.25)
        self.assertGreater(max(waits), 2.0)

    @virtual_time.run_without_io
    async def test_requests_of_the_usual_size_use_any_engine_at_once(self):
        # Guards against requests of the deployments that wait for a turn.
        memory, states = await make_memory_with_turn(0)
        memory.fitting(make_job(60_000), states, 124, 1.5)
        for _ in range(50):
            job = make_job(1_600)
            self.assertEqual(len(memory.fitting(job, states, 124, 1.5)), 56)

    @virtual_time.run_without_io
    async def test_one_request_uses_an_engine_until_it_is_known(self):
        memory, states = await make_memory_with_turn(0)
        by_id = {state.server.id: state for state in states}
        sent = []
        while fitting := memory.fitting(make_job(11_000), states, 124, 1.5):
            sent.append(min(fitting))
            memory.record_start(make_job(11_000), by_id[sent[-1]])
        self.assertEqual(len(sent), len(set(sent)))
        self.assertLess(len(sent), 5)

    @virtual_time.run_without_io
    async def test_chance_decides_without_a_turn(self):
        # As with a leader of an older build. On average an instance must
        # find memory at few engines, else all send to all.
        memory, states = await make_memory_with_turn(0)
        memory.section().apply([{}, []], anyio.current_time())
        fitting = memory.fitting(make_job(11_000), states, 124, 1.5)
        self.assertLessEqual(len(fitting), 2)

    @virtual_time.run_without_io
    async def test_leader_gives_turns_once_it_knows_the_instances(self):
        # Guards against a new leader that takes the first instance that
        # reports for the only one.
        leader, _ = make_memory()
        memories = {f'front-{n}': make_memory()[0] for n in (2, 1, 3)}
        for name, memory in memories.items():
            exchange(leader, memory, name)
        self.assertEqual(exchange(leader, memories['front-1'])[2], [0, 0, 0])
        await anyio.sleep(memory_reports.REPORT_TTL_S)
        for name, memory in memories.items():
            exchange(leader, memory, name)
        now = anyio.current_time()
        turns = [
            leader.section().make_update(name, now)[2] for name in memories
        ]
        self.assertEqual([turn[0] for turn in turns], [1, 0, 2])
        self.assertEqual({turn[1] for turn in turns}, {3})

    @virtual_time.run_without_io
    async def test_malformed_turn_is_refused(self):
        memory, _ = make_memory()
        for turn in ([0, 1], [0.5, 1, 1], 'abc', [0, 'x', 1]):
            with (
                self.subTest(turn=turn),
                self.assertRaises((TypeError, ValueError)),
            ):
                memory.section().apply([{}, [], turn], anyio.current_time())


class LeaderChangeTest(unittest.TestCase):
    """A fleet of 12 instances that hold 8,000 tokens each in one engine.

    Guards against a new leader whose sums lack most instances: the engine
    has 96,000 of 100,000 tokens, and more requests crash it.
    """

    def make_fleet(self):
        fleet = {f'front-{number:02}': make_memory() for number in range(12)}
        for memory, state in fleet.values():
            memory.record_start(make_job(8_000), state)
        return fleet

    async def count_fitting(self, fleet, leader, states_instances=True):
        """Exchange with a leader; return how many may send more after it.

        Args:
            fleet: EngineMemory and ServerState by instance.
            leader: EngineMemory of the leader.
            states_instances: Whether the leader states how many instances
                report, as older builds do not.
        """
        count = 0
        for number, (name, (memory, state)) in enumerate(fleet.items()):
            await anyio.sleep(0.25 / len(fleet))
            now = anyio.current_time()
            section = leader.section()
            section.receive(name, memory.section().make_report(), now)
            value = section.make_update(name, now)
            value = value if states_instances else value[:3]
            memory.section().apply(value, now)
            # The leader counts the instances from one, too.
            job = make_job(8_000)
            count += bool(memory.fitting(job, [state], number + 1, 1.5))
        return count

    async def settle(self, fleet, leader):
        for _ in range(12):
            await self.count_fitting(fleet, leader)

    @virtual_time.run_without_io
    async def test_full_engine_gets_no_more_after_a_change(self):
        fleet = self.make_fleet()
        await self.settle(fleet, make_memory()[0])
        new = make_memory()[0]
        for _ in range(12):
            self.assertEqual(await self.count_fitting(fleet, new), 0)

    @virtual_time.run_without_io
    async def test_sums_count_once_as_many_report_as_before(self):
        # Guards against a change that keeps the last tokens for seconds.
        fleet = self.make_fleet()
        await self.settle(fleet, make_memory()[0])
        for memory, state in fleet.values():
            memory.record_end(state, 8_000)
        new = make_memory()[0]
        await self.count_fitting(fleet, new)
        await self.count_fitting(fleet, new)
        for memory, state in fleet.values():
            self.assertEqual(memory.held(state)['others_tokens'], 0)
            self.assertFalse(memory._describe_others(11, 1.5).are_unknown)

    @virtual_time.run_without_io
    async def test_instances_lost_with_the_leader_are_not_awaited(self):
        fleet = self.make_fleet()
        await self.settle(fleet, make_memory()[0])
        for name in list(fleet)[6:]:
            del fleet[name]
        new = make_memory()[0]
        self.assertEqual(await self.count_fitting(fleet, new), 0)
        await anyio.sleep(memory_reports.REPORT_TTL_S)
        self.assertEqual(await self.count_fitting(fleet, new), 6)

    @virtual_time.run_without_io
    async def test_leader_of_an_older_build_is_taken_as_complete(self):
        fleet = self.make_fleet()
        await self.count_fitting(fleet, make_memory()[0], False)
        memory, state = fleet['front-11']
        self.assertEqual(memory.held(state)['others_tokens'], 88_000)
        self.assertFalse(memory._describe_others(11, 1.5).are_unknown)

    @virtual_time.run_without_io
    async def test_first_sums_of_a_leader_are_not_taken_as_complete(self):
        # An instance that starts at a change knows no earlier sums.
        memory, _ = make_memory()
        memory.section().apply(
            [{'s1': 8_000}, [], [0, 0, 0], 2], anyio.current_time()
        )
        self.assertTrue(memory._describe_others(11, 1.5).are_unknown)

    @virtual_time.run_without_io
    async def test_malformed_number_of_instances_is_refused(self):
        memory, state = make_memory()
        memory.section().apply([{'s1': 5}, []], anyio.current_time())
        for number in ('x', 0.5, None):
            with self.subTest(number=number), self.assertRaises(TypeError):
                memory.section().apply([{}, [], [0, 1, 1], number], 1.0)
        self.assertEqual(memory.held(state)['others_tokens'], 5)


class SilentLeaderTest(unittest.TestCase):
    """An engine with 80,000 of 100,000 tokens when the leader is lost."""

    def make_memory(self, tokens=80_000):
        memory, state = make_memory()
        memory.section().apply([{'s1': tokens}, []], anyio.current_time())
        return memory, state

    def fits(self, memory, state, tokens=1_000):
        return bool(memory.fitting(make_job(tokens), [state], 12, 1.5))

    @virtual_time.run_without_io
    async def test_tokens_of_long_ago_have_ended(self):
        # Guards against an engine that gets nothing until a leader is back.
        memory, state = self.make_memory()
        await anyio.sleep(600.0)
        self.assertTrue(self.fits(memory, state))
        # The margin of what is unknown, 25,000 tokens, stays.
        memory.record_start(make_job(70_000), state)
        self.assertTrue(self.fits(memory, state, 5_000))
        self.assertFalse(self.fits(memory, state, 5_001))

    @virtual_time.run_without_io
    async def test_tokens_end_gradually_once_they_are_unknown(self):
        memory, state = self.make_memory()
        await anyio.sleep(2.55)
        self.assertFalse(self.fits(memory, state))
        await anyio.sleep(1.45)
        # 80,000 x exp(-1.5 / 1.5) are 29,430 and the margin 25,000.
        memory.record_start(make_job(40_000), state)
        self.assertTrue(self.fits(memory, state, 5_500))
        self.assertFalse(self.fits(memory, state, 5_600))

    @virtual_time.run_without_io
    async def test_tokens_stay_while_they_are_known(self):
        memory, state = self.make_memory(90_000)
        await anyio.sleep(2.4)
        self.assertTrue(self.fits(memory, state, 5_000))
        self.assertFalse(self.fits(memory, state, 5_001))

    @virtual_time.run_without_io
    async def test_restarted_server_has_no_tokens_of_its_last_process(self):
        memory, state = self.make_memory(90_000)
        self.assertFalse(self.fits(memory, state, 9_000))
        new = builders.make_residency(['m1'], 2)
        state.server = builders.make_server(residency=new)
        self.assertTrue(self.fits(memory, state, 9_000))
        self.assertEqual(memory.held(state)['others_tokens'], 0)

    @virtual_time.run_without_io
    async def test_tokens_in_a_server_that_is_listed_later_count(self):
        memory, state = make_memory()
        states = memory._servers.states
        states.clear()
        memory.section().apply([{'s1': 90_000}, []], anyio.current_time())
        states['s1'] = state
        self.assertFalse(self.fits(memory, state, 9_000))

    @virtual_time.run_without_io
    async def test_others_are_taken_to_want_as_much_without_a_leader(self):
        # Guards against instances that all take the engine for empty.
        memory, state = self.make_memory()
        await anyio.sleep(600.0)
        memory.section().make_report()
        for _ in range(12):
            self.fits(memory, state, 8_000)
        await anyio.sleep(0.5)
        memory.section().make_report()
        others = memory._describe_others(11, 1.5)
        shares = memory._shares(make_job(8_000), [state], others, 0.5)
        self.assertLess(shares['s1'], 0.1)


class EngineMemoryTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_tokens_of_one_instance_reach_the_others(self):
        first, first_state = make_memory()
        second, second_state = make_memory()
        leader, _ = make_memory()
        for _ in range(9):
            first.record_start(make_job(), first_state)
        update = exchange(leader, first)
        self.assertEqual(update[0], {'s1': 90_000})
        second.section().apply(update, anyio.current_time())
        self.assertFalse(second.fitting(make_job(), [second_state], 2, 1.5))

    @virtual_time.run_without_io
    async def test_ended_request_frees_its_tokens(self):
        memory, state = make_memory()
        tokens = memory.record_start(make_job(95_000), state)
        self.assertFalse(memory.fitting(make_job(), [state], 1, 1.5))
        memory.record_end(state, tokens)
        self.assertEqual(memory.fitting(make_job(), [state], 1, 1.5), {'s1'})

    @virtual_time.run_without_io
    async def test_tokens_in_a_process_that_ended_are_not_reported(self):
        memory, state = make_memory()
        memory.record_start(make_job(), state)
        new = builders.make_residency(['m1'], 2)
        memory._servers.states['s1'] = servers.ServerState(
            builders.make_server(residency=new)
        )
        self.assertEqual(memory.section().make_report()[0], {})

    @virtual_time.run_without_io
    async def test_request_that_fits_no_engine_is_rejected_at_once(self):
        memory, _ = make_memory()
        with self.assertRaises(kinds.ServingError) as caught:
            memory.require_possible(make_job(CAPACITY + 1))
        self.assertIs(caught.exception.kind, kinds.ErrorKind.REQUEST_TOO_LARGE)
        memory.require_possible(make_job(CAPACITY))
        memory.require_possible(make_job(None))

    @virtual_time.run_without_io
    async def test_exclusions_tell_full_engines_from_deferred_requests(self):
        # Guards against rejections whose cause the log does not show.
        memory, states = await make_memory_with_turn(0, engines=4)
        wanted = [['engines', 'm1', 1_000_000.0]]
        memory.section().apply([{'s00': 99_000}, wanted], anyio.current_time())
        await anyio.sleep(0.2)
        job = make_job(8_000)
        fitting = memory.fitting(job, states, 124, 1.5)
        self.assertEqual(job.memory_exclusions.full, 1)
        self.assertEqual(
            job.memory_exclusions.deferred, len(states) - 1 - len(fitting)
        )
        self.assertGreater(job.memory_exclusions.deferred, 0)

    @virtual_time.run_without_io
    async def test_engines_without_a_stated_memory_have_no_limit(self):
        memory, state = make_memory()
        job = make_job(10**9, capacity=0)
        memory.require_possible(job)
        self.assertEqual(memory.record_start(job, state), 0)
        self.assertEqual(memory.fitting(job, [state], 9, 1.5), {'s1'})

    @virtual_time.run_without_io
    async def test_what_others_want_reaches_an_instance(self):
        first, state = make_memory()
        leader, _ = make_memory()
        first.fitting(make_job(), [state], 2, 1.5)
        rows = exchange(leader, first)[1]
        self.assertEqual([row[:2] for row in rows], [['engines', 'm1']])
        self.assertGreater(rows[0][2], 0.0)

    @virtual_time.run_without_io
    async def test_waiting_request_counts_as_wanted_once_in_a_window(self):
        memory, state = make_memory()
        job = make_job()
        for _ in range(5):
            memory.fitting(job, [state], 2, 1.5)
        self.assertEqual(memory._wanted['engines', 'm1'], 10_000)

    @virtual_time.run_without_io
    async def test_nothing_is_hashed_while_there_is_memory_for_all(self):
        # Guards against a decision of 0.7 ms for 56 engines, which each
        # waiting request makes at least four times a second.
        memory, state = make_memory()
        memory.section().apply([{}, []], anyio.current_time())
        with mock.patch.object(engine_memory.engine_memory, '_hash') as hash_:
            fitting = memory.fitting(make_job(1_000), [state], 124, 1.5)
        self.assertEqual(fitting, {'s1'})
        hash_.assert_not_called()

    @virtual_time.run_without_io
    async def test_chances_are_kept_for_each_set_of_servers(self):
        # Guards against hashing again at each recheck where some servers
        # have a limit: a decision asks for these and for the others in turn.
        memory, states = await make_memory_with_turn(0, engines=6)
        wanted = [['engines', 'm1', 1_000_000.0]]
        memory.section().apply([{}, wanted], anyio.current_time())
        await anyio.sleep(0.2)
        job, sets = make_job(1_000), (states[:4], states[4:])
        chances = engine_memory.engine_memory.chances
        with mock.patch.object(
            engine_memory.engine_memory, 'chances', side_effect=chances
        ) as count:
            found = [
                [memory.fitting(job, part, 124, 1.5) for part in sets]
                for _ in range(5)
            ]
        self.assertEqual(count.call_count, 2)
        self.assertEqual(found, [found[0]] * 5)

    @virtual_time.run_without_io
    async def test_silent_instance_is_forgotten(self):
        memory, state = make_memory()
        leader, _ = make_memory()
        memory.record_start(make_job(), state)
        exchange(leader, memory)
        await anyio.sleep(memory_reports.REPORT_TTL_S + 0.1)
        other, _ = make_memory()
        self.assertEqual(
            exchange(leader, other, 'front-3'), [{}, [], [0, 0, 0], 1]
        )

    @virtual_time.run_without_io
    async def test_malformed_section_leaves_the_reports_as_they_were(self):
        memory, state = make_memory()
        leader, _ = make_memory()
        memory.record_start(make_job(), state)
        before = exchange(leader, memory)
        for value in (7, [{}], [{'s1': -1}, []], [{'s1': 1.5}, []]):
            with (
                self.subTest(value=value),
                self.assertRaises((TypeError, ValueError)),
            ):
                leader.section().receive('front-1', value, 0.0)
        now = anyio.current_time()
        self.assertEqual(leader.section().make_update('front-2', now), before)
