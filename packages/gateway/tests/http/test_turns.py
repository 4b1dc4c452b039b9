import unittest

import anyio
from anyio import lowlevel
from wagtailtide_gateway.http import turns
from wagtailtide_testing import virtual_time


class TurnsTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_many_connections_get_one_turn_in_a_round(self):
        # Guards against a crowd whose work, a little for each connection,
        # keeps all others waiting for seconds in each round of the event
        # loop.
        shared, done = turns.Turns(), 0

        async def work():
            nonlocal done
            pieces = turns.Pieces(shared)
            while True:
                await pieces.take()
                done += 1

        async with anyio.create_task_group() as tg:
            for _ in range(100):
                tg.start_soon(work)
            await lowlevel.checkpoint()
            await lowlevel.checkpoint()
            before, rounds = done, 1_000
            for _ in range(rounds):
                await lowlevel.checkpoint()
            tg.cancel_scope.cancel()
        self.assertGreater(done, before)
        self.assertLessEqual(done - before, rounds * turns.PIECES_PER_TURN)

    @virtual_time.run_without_io
    async def test_work_that_takes_longer_comes_less_often(self):
        shared, done = turns.Turns(), 0

        async def work():
            nonlocal done
            while True:
                await shared.wait(rounds=16)
                done += 1

        async with anyio.create_task_group() as tg:
            for _ in range(100):
                tg.start_soon(work)
            for _ in range(1_600):
                await lowlevel.checkpoint()
            tg.cancel_scope.cancel()
        self.assertGreater(done, 10)
        self.assertLessEqual(done, 100)

    @virtual_time.run_without_io
    async def test_input_in_network_segments_needs_no_turn(self):
        # Guards against reports of other instances that wait for each other
        # at the leader, which then counts as lost.
        shared = turns.Turns()
        async with shared._lock:
            pieces = turns.Pieces(shared)
            with anyio.fail_after(0):
                for _ in range(1_000):
                    pieces.allow_for(1_460)
                    # The segment, and the look for more.
                    await pieces.take()
                    await pieces.take()

    @virtual_time.run_without_io
    async def test_usual_request_needs_no_turn(self):
        shared = turns.Turns()
        async with shared._lock:
            pieces = turns.Pieces(shared)
            with anyio.fail_after(0):
                for _ in range(turns.FREE_PIECES):
                    await pieces.take()
