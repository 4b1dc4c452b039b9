import types
import unittest
from unittest import mock

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_gateway.control import engine_memory
from wagtailtide_gateway.control import memory_reports
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.decisions import engine_memory as decisions
from wagtailtide_testing import virtual_time

from tests import builders

CAPACITY = 100_000


def make_memory(process_start_ms=1):
    residency = builders.make_residency(['m1'], process_start_ms)
    state = server_state.ServerState(builders.make_server(residency=residency))
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
        memory_exclusions=decisions.NO_EXCLUSIONS,
        reservation=None,
    )


def exchange(leader, memory, name='front-1'):
    """Report from a memory to a leader; return the update for another."""
    now = anyio.current_time()
    leader.section().receive(name, memory.section().make_report(), now)
    return leader.section().make_update('front-2', now)


def make_states(engines):
    residency = builders.make_residency(['m1'], 1)
    return [
        server_state.ServerState(
            builders.make_server(f's{index:02}', residency=residency)
        )
        for index in range(engines)
    ]


def make_memory_of(states):
    """Return an EngineMemory that knows some servers of one service."""
    view = types.SimpleNamespace(
        states={state.server.id: state for state in states},
        of_service=lambda service: states,
    )
    return engine_memory.EngineMemory(view)


def make_idle_memory(instances=124, engines=56, is_available=True):
    """Return an EngineMemory that knows the others as idle; its servers."""
    states = make_states(engines)
    memory = make_memory_of(states)
    now = anyio.current_time()
    memory.section().apply([{}, [], [0, 0, 0], instances, True], now)
    memory.reservations_section().apply([is_available, []], now)
    return memory, states


class LargeRequestTest(unittest.TestCase):
    """A fleet of 124 instances and 56 engines that was idle."""

    @virtual_time.run_without_io
    async def test_requests_of_the_usual_size_use_any_engine_at_once(self):
        # Guards against requests of the deployments that wait for the leader.
        memory, states = make_idle_memory()
        memory.fitting(make_job(60_000), states, 124, 1.5)
        for _ in range(50):
            job = make_job(1_600)
            self.assertFalse(memory.needs_reservation(job, 124))
            self.assertEqual(len(memory.fitting(job, states, 124, 1.5)), 56)

    @virtual_time.run_without_io
    async def test_large_request_needs_a_reservation(self):
        memory, states = make_idle_memory()
        job = make_job(11_000)
        self.assertEqual(len(memory.fitting(job, states, 124, 1.5)), 56)
        self.assertTrue(memory.needs_reservation(job, 124))
        memory, _ = make_idle_memory(instances=1)
        self.assertFalse(memory.needs_reservation(job, 1))

    @virtual_time.run_without_io
    async def test_chance_decides_without_reservations(self):
        # As with a leader of an older build. On average an instance must
        # find memory at few engines, else all send to all.
        memory, states = make_idle_memory(is_available=False)
        job = make_job(11_000)
        self.assertLessEqual(len(memory.fitting(job, states, 124, 1.5)), 2)
        self.assertFalse(memory.needs_reservation(job, 124))

    @virtual_time.run_without_io
    async def test_chance_decides_while_no_leader_answers(self):
        memory, _ = make_idle_memory()
        await anyio.sleep(2.4)
        self.assertTrue(memory.needs_reservation(make_job(11_000), 124))
        await anyio.sleep(0.2)
        self.assertFalse(memory.needs_reservation(make_job(11_000), 124))

    @virtual_time.run_without_io
    async def test_malformed_turn_is_refused(self):
        memory, _ = make_memory()
        for turn in ([0, 1], [0.5, 1, 1], 'abc', [0, 'x', 1]):
            with (
                self.subTest(turn=turn),
                self.assertRaises((TypeError, ValueError)),
            ):
                memory.section().apply([{}, [], turn], anyio.current_time())


class ReservationTest(unittest.TestCase):
    """Three instances that have reported to a leader, and two engines."""

    async def make_fleet(self):
        """Return the memories by instance, the leader and its states."""
        states = make_states(2)
        leader = make_memory_of(states)
        memories = {f'front-{n}': make_memory_of(states) for n in range(3)}
        for _ in range(2):
            for name, memory in memories.items():
                self.exchange(leader, memory, name)
            await anyio.sleep(memory_reports.REPORT_TTL_S / 2)
        for name, memory in memories.items():
            self.exchange(leader, memory, name)
        return memories, leader, states

    def exchange(self, leader, memory, name, is_lost=False):
        now = anyio.current_time()
        for section, other in (
            (memory.section(), leader.section()),
            (memory.reservations_section(), leader.reservations_section()),
        ):
            other.receive(name, section.make_report(), now)
        for section, other in (
            (memory.section(), leader.section()),
            (memory.reservations_section(), leader.reservations_section()),
        ):
            value = other.make_update(name, now)
            if not is_lost:
                section.apply(value, now)

    def exchange_urgently(self, leader, memory, name, is_lost=False):
        now = anyio.current_time()
        own, other = (
            memory.reservations_section(),
            leader.reservations_section(),
        )
        other.receive(name, own.make_report(), now)
        value = other.make_update(name, now)
        if not is_lost:
            own.apply(value, now)

    def reserve(self, fleet, name, tokens, server_ids=('s00', 's01'), **lost):
        """Ask for a reservation; return the Job."""
        memories, leader, _ = fleet
        job = make_job(tokens)
        memories[name].reserve(job, list(server_ids))
        self.exchange_urgently(leader, memories[name], name, **lost)
        return job

    @virtual_time.run_without_io
    async def test_instances_never_share_memory_for_one(self):
        # 60,000 of 100,000 tokens: a second one would exceed the memory.
        fleet = memories, _, _ = await self.make_fleet()
        jobs = [self.reserve(fleet, name, 60_000) for name in memories]
        granted = [
            memory.reserved_server(job)
            for memory, job in zip(memories.values(), jobs, strict=True)
        ]
        self.assertEqual(granted, ['s00', 's01', None])
        self.assertTrue(memories['front-2'].awaits_reservation(jobs[2]))

    @virtual_time.run_without_io
    async def test_ended_request_leaves_its_memory_to_the_next(self):
        fleet = memories, leader, states = await self.make_fleet()
        first, second = memories['front-0'], memories['front-1']
        job = self.reserve(fleet, 'front-0', 60_000, ['s00'])
        tokens = first.record_start(job, states[0])
        self.exchange(leader, first, 'front-0')
        waiting = self.reserve(fleet, 'front-1', 60_000, ['s00'])
        self.assertIsNone(second.reserved_server(waiting))
        first.record_end(job, states[0], tokens)
        self.exchange(leader, first, 'front-0')
        self.exchange_urgently(leader, second, 'front-1')
        self.assertEqual(second.reserved_server(waiting), 's00')

    @virtual_time.run_without_io
    async def test_reservation_in_a_lost_answer_is_granted_again(self):
        # Guards against memory that nobody uses and nobody gets.
        fleet = memories, leader, _ = await self.make_fleet()
        job = self.reserve(fleet, 'front-0', 60_000, ['s00'], is_lost=True)
        self.assertIsNone(memories['front-0'].reserved_server(job))
        self.exchange_urgently(leader, memories['front-0'], 'front-0')
        self.assertEqual(memories['front-0'].reserved_server(job), 's00')

    @virtual_time.run_without_io
    async def test_reservation_that_is_not_used_is_free_after_a_report(self):
        fleet = memories, leader, _ = await self.make_fleet()
        memory = memories['front-0']
        job = self.reserve(fleet, 'front-0', 60_000, ['s00'])
        memory.withdraw_reservation(job)
        self.exchange(leader, memory, 'front-0')
        other = self.reserve(fleet, 'front-1', 60_000, ['s00'])
        self.assertEqual(memories['front-1'].reserved_server(other), 's00')

    @virtual_time.run_without_io
    async def test_reserved_tokens_are_held_until_the_request_starts(self):
        fleet = memories, leader, states = await self.make_fleet()
        memory = memories['front-0']
        job = self.reserve(fleet, 'front-0', 60_000, ['s00'])
        self.assertEqual(memory.held(states[0])['own_tokens'], 60_000)
        self.exchange(leader, memory, 'front-0')
        other = self.reserve(fleet, 'front-1', 60_000, ['s00'])
        self.assertIsNone(memories['front-1'].reserved_server(other))
        memory.record_start(job, states[0])
        self.assertEqual(memory.held(states[0])['own_tokens'], 60_000)

    @virtual_time.run_without_io
    async def test_reservation_ends_with_the_process_of_the_server(self):
        fleet = memories, _, states = await self.make_fleet()
        job = self.reserve(fleet, 'front-0', 60_000, ['s00'])
        states[0].server = builders.make_server(
            's00', residency=builders.make_residency(['m1'], 2)
        )
        self.assertIsNone(memories['front-0'].reserved_server(job))
        self.assertEqual(memories['front-0'].held(states[0])['own_tokens'], 0)

    @virtual_time.run_without_io
    async def test_new_leader_grants_nothing_until_all_have_reported(self):
        # Guards against a leader that takes what it does not know for free.
        fleet = memories, _, states = await self.make_fleet()
        job = self.reserve(fleet, 'front-0', 60_000, ['s00'])
        memories['front-0'].record_start(job, states[0])
        new = memories['front-2']
        self.exchange(new, memories['front-1'], 'front-1')
        fleet = memories, new, states
        other = self.reserve(fleet, 'front-1', 60_000, ['s00'])
        self.assertIsNone(memories['front-1'].reserved_server(other))
        self.exchange(new, memories['front-2'], 'front-2')
        self.exchange_urgently(new, memories['front-1'], 'front-1')
        self.assertIsNone(memories['front-1'].reserved_server(other))
        self.exchange(new, memories['front-0'], 'front-0')
        third = self.reserve(fleet, 'front-1', 60_000)
        self.assertEqual(memories['front-1'].reserved_server(third), 's01')

    @virtual_time.run_without_io
    async def test_no_reservations_beside_an_older_build(self):
        # An older build sends large requests by chance or in its turns.
        memories, leader, _ = await self.make_fleet()
        leader.section().receive('front-9', [{}, []], anyio.current_time())
        self.exchange(leader, memories['front-0'], 'front-0')
        self.assertFalse(
            memories['front-0'].needs_reservation(make_job(11_000), 4)
        )

    @virtual_time.run_without_io
    async def test_malformed_values_change_nothing(self):
        fleet = memories, leader, _ = await self.make_fleet()
        row = [1, 'engines', 60_000, 100_000, 2_000.0, ['s00']]
        section = leader.reservations_section()
        for value in (7, [row[:5]], [[*row[:2], -1, *row[3:]]], [['x']]):
            with (
                self.subTest(value=value),
                self.assertRaises((TypeError, ValueError)),
            ):
                section.receive('front-0', value, 0.0)
        memory = memories['front-0']
        for value in (7, [True], [1, []], [True, [[1]]], [True, [['x', 1]]]):
            with (
                self.subTest(value=value),
                self.assertRaises((TypeError, ValueError)),
            ):
                memory.reservations_section().apply(value, 0.0)
        job = self.reserve(fleet, 'front-0', 60_000, ['s00'])
        self.assertEqual(memory.reserved_server(job), 's00')

    @virtual_time.run_without_io
    async def test_unknown_servers_and_requests_are_ignored(self):
        fleet = memories, _, _ = await self.make_fleet()
        job = self.reserve(fleet, 'front-0', 11_000, ['s77', 's01'])
        self.assertEqual(memories['front-0'].reserved_server(job), 's01')
        section = memories['front-0'].reservations_section()
        now = anyio.current_time()
        section.apply([True, [[999, 's00'], [job.reservation, 's77']]], now)
        self.assertEqual(memories['front-0'].reserved_server(job), 's01')


class LeaderChangeTest(unittest.TestCase):
    """A fleet of 12 instances that hold 8,000 tokens each in one engine.

    Guards against a new leader whose sums lack most instances: the engine
    has 96,000 of 100,000 tokens, and more requests crash it.
    """

    def make_fleet(self, instances=12):
        fleet = {
            f'front-{number:02}': make_memory() for number in range(instances)
        }
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
            memory.record_end(make_job(8_000), state, 8_000)
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
    async def test_one_instance_lost_with_the_leader_is_not_awaited(self):
        # Guards against tokens that are unknown for seconds at each loss of
        # a leader, as it does not report to the next one.
        fleet = self.make_fleet(40)
        await self.settle(fleet, make_memory()[0])
        del fleet['front-39']
        new = make_memory()[0]
        for _ in range(6):
            await self.count_fitting(fleet, new)
        for memory, _ in fleet.values():
            self.assertLess(memory._describe_others(39, 1.5).age_s, 1.0)

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
        # The margin of what is unknown, 25,000 tokens, stays, and 15,000 that
        # are kept for requests with reservations.
        memory.record_start(make_job(56_000), state)
        self.assertTrue(self.fits(memory, state, 4_000))
        self.assertFalse(self.fits(memory, state, 4_001))

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
        memory, state = self.make_memory(76_000)
        await anyio.sleep(2.4)
        self.assertTrue(self.fits(memory, state, 4_000))
        self.assertFalse(self.fits(memory, state, 4_001))

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
        memory.record_end(make_job(), state, tokens)
        self.assertEqual(memory.fitting(make_job(), [state], 1, 1.5), {'s1'})

    @virtual_time.run_without_io
    async def test_tokens_in_a_process_that_ended_are_not_reported(self):
        memory, state = make_memory()
        memory.record_start(make_job(), state)
        new = builders.make_residency(['m1'], 2)
        memory._servers.states['s1'] = server_state.ServerState(
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
        memory, states = make_idle_memory(engines=4, is_available=False)
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
        memory, states = make_idle_memory(engines=6)
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
            exchange(leader, other, 'front-3'), [{}, [], [0, 0, 0], 1, True]
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
