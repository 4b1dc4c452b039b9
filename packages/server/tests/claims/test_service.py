import itertools
import random
import unittest

import anyio
from wagtailtide_core.claims import model
from wagtailtide_core.errors import kinds
from wagtailtide_core.invariants import checks
from wagtailtide_server.claims import service
from wagtailtide_testing import memory
from wagtailtide_testing import virtual_time

_BODY = model.hash_request('POST', b'/orders', b'two motors')
_CREATED = model.Outcome(201, (('content-type', 'text/plain'),), b'order 7')


def _keys_of_one_partition(count):
    candidates = (f'key-{n}' for n in itertools.count())
    matching = (
        key
        for key in candidates
        if not model.partition_of(model.hash_key('shop', '/orders', key))
    )
    return list(itertools.islice(matching, count))


class Fleet:
    """Three instances and one store; p % 3 coordinates partition p."""

    def __init__(self, coordinator_of=lambda number: 'abc'[number % 3]):
        self.coordinator_of = coordinator_of
        self.store = memory.MemoryStore()
        self.network = memory.MemoryNetwork()
        self.boots = dict.fromkeys(('a', 'b', 'c'), 1)
        self.invariants = checks.Invariants()
        self.services = {name: self.start(name) for name in self.boots}

    def start(self, name):
        return service.ClaimService(
            store=self.store,
            peers=self.network.peer(name),
            coordinator_of=self.coordinator_of,
            instance=name,
            boot=lambda: self.boots[name],
            invariants=self.invariants,
            rng=random.Random(f'{name}{self.boots[name]}'),
        )

    def restart(self, name):
        self.boots[name] += 1
        self.services[name] = self.start(name)

    async def submit(self, name, key='k', body=_BODY):
        return await self.services[name].claim('shop', '/orders', key, body)

    async def run(self, name, key='k'):
        claims = self.services[name]
        answer = await self.submit(name, key)
        claims.held_claims.begin_attempt(answer.held_claim)
        await claims.record_outcome(answer.held_claim, _CREATED)
        return answer


class ClaimServiceTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()

    @virtual_time.run_without_io
    async def test_one_of_many_concurrent_submissions_is_granted(self):
        answers = []

        async def submit(name):
            answers.append((await self.fleet.submit(name)).kind)

        async with anyio.create_task_group() as group:
            for name in 'abcabc':
                group.start_soon(submit, name)
        self.assertEqual(answers.count(service.AnswerKind.GRANTED), 1)
        self.assertEqual(answers.count(service.AnswerKind.STILL_RUNNING), 5)

    @virtual_time.run_without_io
    async def test_concurrent_writers_of_a_partition_grant_one(self):
        # Without a coordinator every instance writes the head itself.
        fleet = Fleet(coordinator_of=lambda number: None)
        answers = []

        async def submit(name):
            answers.append((await fleet.submit(name)).kind)

        async with anyio.create_task_group() as group:
            for name in 'abc':
                group.start_soon(submit, name)
        self.assertEqual(answers.count(service.AnswerKind.GRANTED), 1)

    @virtual_time.run_without_io
    async def test_a_coordinator_with_an_old_head_records_an_outcome(self):
        first, second = _keys_of_one_partition(2)
        coordinator = self.fleet.coordinator_of(0)
        holder, other = (name for name in 'abc' if name != coordinator)
        await self.fleet.submit(coordinator, first)
        self.fleet.network.cut = {coordinator}
        await self.fleet.run(holder, second)
        self.fleet.network.cut = set()
        await self.fleet.services[holder].write_pending_changes()
        self.fleet.restart(holder)
        answer = await self.fleet.submit(other, second)
        self.assertEqual(answer.outcome, _CREATED)

    @virtual_time.run_without_io
    async def test_an_outcome_is_replayed_at_every_instance(self):
        await self.fleet.run('a')
        await self.fleet.services['a'].write_pending_changes()
        self.fleet.network.cut = {'a'}
        for name in 'bc':
            answer = await self.fleet.submit(name)
            self.assertEqual(answer.outcome, _CREATED)

    @virtual_time.run_without_io
    async def test_an_unrecorded_outcome_comes_from_the_holder(self):
        await self.fleet.run('a')
        answer = await self.fleet.submit('b')
        self.assertEqual(answer.outcome, _CREATED)

    @virtual_time.run_without_io
    async def test_an_outcome_recorded_before_the_holder_is_asked(self):
        # Guards against reporting a known outcome as unknown.
        await self.fleet.run('a')
        asking = self.fleet.services['b']
        ask = asking._ask_holder

        async def ask_late(claim):
            await self.fleet.services['a'].write_pending_changes()
            return await ask(claim)

        asking._ask_holder = ask_late
        self.assertEqual((await self.fleet.submit('b')).outcome, _CREATED)

    @virtual_time.run_without_io
    async def test_a_key_whose_holder_died_has_an_unknown_outcome(self):
        await self.fleet.submit('a')
        self.fleet.restart('a')
        for name in 'bac':
            answer = await self.fleet.submit(name)
            self.assertIs(answer.kind, service.AnswerKind.OUTCOME_UNKNOWN)

    @virtual_time.run_without_io
    async def test_a_paused_holder_is_not_replaced_and_finishes_late(self):
        answer = await self.fleet.submit('a')
        self.fleet.network.cut = {'a'}
        second = await self.fleet.submit('b')
        self.assertIs(second.kind, service.AnswerKind.OUTCOME_UNKNOWN)
        self.fleet.network.cut = set()
        claims = self.fleet.services['a']
        claims.held_claims.begin_attempt(answer.held_claim)
        await claims.record_outcome(answer.held_claim, _CREATED)
        await claims.write_pending_changes()
        self.assertEqual((await self.fleet.submit('b')).outcome, _CREATED)

    @virtual_time.run_without_io
    async def test_a_lost_answer_to_the_claim_still_grants_it_once(self):
        self.fleet.store.lose_answers = 1
        first = await self.fleet.submit('a')
        second = await self.fleet.submit('b')
        self.assertIs(first.kind, service.AnswerKind.GRANTED)
        self.assertIs(second.kind, service.AnswerKind.STILL_RUNNING)

    @virtual_time.run_without_io
    async def test_a_store_outage_refuses_new_keys_and_replays_known(self):
        await self.fleet.run('a')
        await self.fleet.services['a'].write_pending_changes()
        self.fleet.store.down = True
        coordinator = 'abc'[
            model.partition_of(model.hash_key('shop', '/orders', 'k')) % 3
        ]
        answer = await self.fleet.submit(coordinator)
        self.assertEqual(answer.outcome, _CREATED)
        with self.assertRaises(kinds.ServingError) as raised:
            await self.fleet.submit('b', 'new')
        self.assertIs(raised.exception.fate, kinds.Fate.NOT_RUN)
        self.assertIs(
            raised.exception.kind, kinds.ErrorKind.CLAIMS_UNAVAILABLE
        )

    @virtual_time.run_without_io
    async def test_a_claim_refused_in_an_outage_can_be_made_later(self):
        # Each write takes effect, but its response is lost until the timeout.
        self.fleet.store.lose_answers = 1_000
        with self.assertRaises(kinds.ServingError):
            await self._submit_with_lost_answers()
        self.fleet.store.lose_answers = 0
        answer = await self.fleet.submit('b')
        self.assertIs(answer.kind, service.AnswerKind.GRANTED)

    async def _submit_with_lost_answers(self):
        async def fail_reads():
            await anyio.sleep(0.021)
            self.fleet.store.down = True

        async with anyio.create_task_group() as group:
            group.start_soon(fail_reads)
            try:
                await self.fleet.submit('a')
            except kinds.ServingError as exc:
                error = exc
        self.fleet.store.down = False
        raise error

    @virtual_time.run_without_io
    async def test_another_body_is_refused(self):
        await self.fleet.run('a')
        other = model.hash_request('POST', b'/orders', b'three motors')
        answer = await self.fleet.submit('b', body=other)
        self.assertIs(answer.kind, service.AnswerKind.BODY_MISMATCH)

    @virtual_time.run_without_io
    async def test_a_second_attempt_that_may_run_again_is_stopped(self):
        answer = await self.fleet.submit('a')
        held_claims = self.fleet.services['a'].held_claims
        held_claims.begin_attempt(answer.held_claim)
        with self.assertRaises(checks.InvariantError):
            held_claims.begin_attempt(answer.held_claim)
        held_claims.record_not_run(answer.held_claim)
        held_claims.begin_attempt(answer.held_claim)

    @virtual_time.run_without_io
    async def test_keys_older_than_the_head_are_found_in_segments(self):
        large = model.Outcome(201, (), b'x' * 4000)
        for key in _keys_of_one_partition(20):
            answer = await self.fleet.submit('a', key)
            self.fleet.services['a'].held_claims.begin_attempt(
                answer.held_claim
            )
            await self.fleet.services['a'].record_outcome(
                answer.held_claim, large
            )
            await self.fleet.services['a'].write_pending_changes()
        self.assertTrue(self.fleet.store.keys('/0'))
        self.fleet.restart('a')
        self.fleet.restart('b')
        for key in _keys_of_one_partition(20):
            answer = await self.fleet.submit('b', key)
            self.assertEqual(answer.outcome, large)

    @virtual_time.run_without_io
    async def test_a_large_body_is_replayed_whole(self):
        large = model.Outcome(200, (('content-type', 'a/b'),), b'y' * 50_000)
        answer = await self.fleet.submit('a')
        self.fleet.services['a'].held_claims.begin_attempt(answer.held_claim)
        await self.fleet.services['a'].record_outcome(answer.held_claim, large)
        await self.fleet.services['a'].write_pending_changes()
        self.assertEqual((await self.fleet.submit('c')).outcome, large)
