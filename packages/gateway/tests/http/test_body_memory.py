import unittest

import anyio
from wagtailtide_gateway.http import body_memory
from wagtailtide_testing import virtual_time

LIMIT = 1_000_000
PART = 50_000


async def receive(bodies, size, pause_s, results, name, expected=0):
    """Receive a body part by part; record its error or None, and its time."""
    started_at, error = anyio.current_time(), None
    try:
        with bodies.claim() as claim, bodies.arriving(claim):
            while claim.size < size:
                await anyio.sleep(pause_s)
                await bodies.grow(claim, PART, expected)
    except body_memory.OutOfMemory as exc:
        error = exc
    results[name] = (error, anyio.current_time() - started_at)


class BodyMemoryTest(unittest.TestCase):
    def setUp(self):
        self.results = {}

    def start(self, tg, bodies, size, pause_s, name):
        tg.start_soon(receive, bodies, size, pause_s, self.results, name)

    @virtual_time.run_without_io
    async def test_slow_bodies_are_ended_for_a_fast_one(self):
        # Guards against slow uploads that keep everybody else from sending.
        bodies = body_memory.BodyMemory(LIMIT)
        async with anyio.create_task_group() as tg:
            for number in range(10):
                self.start(tg, bodies, 4_000_000, 4.0, f'slow {number}')
            await anyio.sleep(9.0)
            self.start(tg, bodies, 500_000, 0.01, 'fast')
            await anyio.sleep(1.0)
            error, seconds = self.results.pop('fast')
            self.assertIsNone(error)
            self.assertLess(seconds, 0.5)
            tg.cancel_scope.cancel()
        self.assertTrue(self.results)
        self.assertTrue(all(e.is_slow for e, _ in self.results.values()))

    @virtual_time.run_without_io
    async def test_bodies_together_stay_within_the_bound(self):
        bodies, most = body_memory.BodyMemory(LIMIT), 0
        async with anyio.create_task_group() as tg:
            for number in range(20):
                self.start(tg, bodies, 400_000, 0.1, number)
            for _ in range(200):
                await anyio.sleep(0.1)
                most = max(most, bodies.held)
        # Each may have its first bytes without waiting.
        self.assertLessEqual(most, LIMIT + 20 * body_memory.FREE_BYTES)
        self.assertEqual(bodies.held, 0)
        self.assertEqual(len(self.results), 20)

    @virtual_time.run_without_io
    async def test_small_body_never_waits(self):
        # Guards against requests of the usual size that wait for uploads.
        bodies = body_memory.BodyMemory(LIMIT)
        with bodies.claim() as claim:
            await bodies.grow(claim, LIMIT)
            await receive(bodies, PART, 0.0, self.results, 'small')
        self.assertEqual(self.results['small'], (None, 0.0))

    @virtual_time.run_without_io
    async def test_body_is_refused_if_requests_in_progress_hold_the_memory(
        self,
    ):
        # Their bodies are complete, for example at servers that read slowly.
        bodies = body_memory.BodyMemory(LIMIT)
        with bodies.claim() as claim:
            await bodies.grow(claim, LIMIT)
            await receive(bodies, 4 * PART, 0.0, self.results, 'large')
            error, seconds = self.results['large']
            self.assertFalse(error.is_slow)
            self.assertEqual(seconds, body_memory.MAX_WAIT_S)
            self.assertEqual(bodies.held, LIMIT)
        self.assertEqual(bodies.held, 0)

    @virtual_time.run_without_io
    async def test_waiting_body_goes_on_as_soon_as_there_is_memory(self):
        bodies = body_memory.BodyMemory(LIMIT)
        async with anyio.create_task_group() as tg:
            with bodies.claim() as claim:
                await bodies.grow(claim, LIMIT)
                self.start(tg, bodies, 4 * PART, 0.0, 'large')
                await anyio.sleep(0.7)
        error, seconds = self.results['large']
        self.assertIsNone(error)
        self.assertAlmostEqual(seconds, 0.7)

    @virtual_time.run_without_io
    async def test_bodies_do_not_wait_for_the_rest_of_each_other(self):
        # Guards against bodies of which all have a part and none the rest.
        bodies = body_memory.BodyMemory(LIMIT)
        async with anyio.create_task_group() as tg:
            for number in range(8):
                tg.start_soon(
                    receive,
                    bodies,
                    400_000,
                    0.05,
                    self.results,
                    number,
                    400_000,
                )
        self.assertEqual([e for e, _ in self.results.values()], [None] * 8)

    @virtual_time.run_without_io
    async def test_single_body_may_exceed_the_bound(self):
        # Guards against a bound below `max_body_bytes` that refuses for ever.
        bodies = body_memory.BodyMemory(LIMIT)
        await receive(bodies, 2 * LIMIT, 0.0, self.results, 'huge')
        self.assertEqual(self.results['huge'], (None, 0.0))
