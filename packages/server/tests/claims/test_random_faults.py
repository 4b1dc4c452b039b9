import collections
import random
import unittest

import anyio
import hypothesis
from hypothesis import strategies
from wagtailtide_core.claims import model
from wagtailtide_core.errors import kinds
from wagtailtide_server.claims import service
from wagtailtide_testing import virtual_time

from tests.claims import test_service

KEYS = ('k1', 'k2')
STEPS = 60


class Schedule:
    """Runs calls, crashes, store outages and lost responses in random order.

    Attributes:
        applied: Number of times that each key's request ran.
        answers: Number of answers and errors by kind.
        wrong_replays: Keys whose replay was not the outcome of their request.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = test_service.Fleet()
        self.scopes = dict.fromkeys(self.fleet.boots)
        self.applied = collections.Counter()
        self.answers = collections.Counter()
        self.wrong_replays = []

    async def run(self):
        async with anyio.create_task_group() as group:
            for _ in range(STEPS):
                self._step(group)
                await anyio.sleep(self.rng.expovariate(5))
            self.fleet.store.down = False
            self.fleet.store.lose_answers = 0
            group.cancel_scope.cancel()
        for key in KEYS:
            await self._submit_once('b', key, self.fleet.services['b'])

    def _step(self, group):
        kind = self.rng.choices(
            ('submit', 'crash', 'outage', 'lose', 'record'), (8, 2, 2, 2, 2)
        )[0]
        name = self.rng.choice('abc')
        if kind == 'submit':
            group.start_soon(self._submit, name, self.rng.choice(KEYS))
        elif kind == 'crash':
            for scope in self.scopes[name] or ():
                scope.cancel()
            self.scopes[name] = None
            self.fleet.restart(name)
        elif kind == 'outage':
            self.fleet.store.down = not self.fleet.store.down
        elif kind == 'lose':
            self.fleet.store.lose_answers += 1
        else:
            claims = self.fleet.services[name]
            group.start_soon(claims.write_pending_changes)

    async def _submit(self, name, key):
        with anyio.CancelScope() as scope:
            self.scopes[name] = {*(self.scopes[name] or ()), scope}
            await self._submit_once(name, key, self.fleet.services[name])

    async def _submit_once(self, name, key, claims):
        try:
            answer = await claims.claim(
                'shop', '/orders', key, test_service._BODY
            )
        except kinds.ServingError as exc:
            self.answers[exc.kind] += 1
            return
        self.answers[answer.kind] += 1
        if answer.kind is service.AnswerKind.REPLAY:
            if answer.outcome.body != key.encode():
                self.wrong_replays.append(key)
        elif answer.kind is service.AnswerKind.GRANTED:
            await self._send(key, claims, answer.held_claim)

    async def _send(self, key, claims, held_claim):
        claims.held_claims.begin_attempt(held_claim)
        await anyio.sleep(self.rng.uniform(0, 0.5))
        if self.rng.random() < 0.3:
            claims.held_claims.record_not_run(held_claim)
            claims.release(held_claim)
            return
        self.applied[key] += 1
        await anyio.sleep(self.rng.uniform(0, 0.5))
        outcome = model.Outcome(201, (), key.encode())
        await claims.record_outcome(held_claim, outcome)


class RandomFaultsTest(unittest.TestCase):
    """Guards against a second run when several faults coincide.

    For example, the claim takes effect, its response is lost and the instance
    crashes; or the holder crashes during a store outage.
    """

    @hypothesis.given(strategies.integers(0, 2**32))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    def test_a_key_runs_at_most_once(self, seed):
        schedule = Schedule(seed)
        _run(schedule)
        self.assertLessEqual(max(schedule.applied.values(), default=0), 1)
        self.assertEqual(schedule.wrong_replays, [])
        self.assertFalse(schedule.fleet.invariants.violated)

    def test_schedules_reach_every_answer(self):
        seen = collections.Counter()
        for seed in range(30):
            schedule = Schedule(seed)
            _run(schedule)
            seen += schedule.answers
        expected = {*service.AnswerKind, kinds.ErrorKind.CLAIMS_UNAVAILABLE}
        expected -= {service.AnswerKind.BODY_MISMATCH}
        self.assertEqual(set(seen), expected)


@virtual_time.run_without_io
async def _run(schedule):
    await schedule.run()
