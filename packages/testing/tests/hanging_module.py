"""A module that hangs; only `test_run_tests` runs it."""

import os
import subprocess
import sys
import threading
import time
import unittest

import trio

# Well above the time limit of the tests that run this module, so that a
# missing limit is noticed, but not long enough to block a run.
HANG_S = 20.0


def block_thread():
    time.sleep(HANG_S)


async def wait_for_nothing():
    await trio.sleep(HANG_S)


async def spin():
    """Hang like a loop whose waits are over at once."""
    end_at = time.monotonic() + HANG_S
    while time.monotonic() < end_at:
        await trio.lowlevel.checkpoint()


class HangingTest(unittest.TestCase):
    def test_main_task_spins_beside_waiting_task_thread_and_process(self):
        child = subprocess.Popen(
            [sys.executable, '-c', f'import time; time.sleep({HANG_S})']
        )
        print(f'processes {os.getpid()} {child.pid}')
        threading.Thread(target=block_thread, daemon=True).start()

        async def run():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait_for_nothing)
                nursery.start_soon(spin)

        trio.run(run)
        child.wait()
