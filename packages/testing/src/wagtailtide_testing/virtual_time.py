"""Run asynchronous tests on a clock that jumps over idle time."""

import functools

import trio
import trio.testing

# Real time the event loop must be idle before the clock jumps. Loopback I/O
# needs a little real time to arrive, so zero would skip past its timeouts.
AUTOJUMP_THRESHOLD_S = 0.02


def run_in_virtual_time(test):
    """Decorate a coroutine function so that it runs in virtual time.

    Args:
        test: Coroutine function, for example a method of a test case.

    Returns:
        A plain function that runs the coroutine on a mock clock.
    """
    return _run_on_clock(test, AUTOJUMP_THRESHOLD_S)


def run_without_io(test):
    """Decorate as run_in_virtual_time, for tests that do no I/O.

    The clock jumps as soon as every task waits, which is exact and faster,
    but would skip past the timeouts of real sockets.
    """
    return _run_on_clock(test, 0.0)


def _run_on_clock(test, threshold_s):
    @functools.wraps(test)
    def run(*args, **kwargs):
        clock = trio.testing.MockClock(autojump_threshold=threshold_s)
        return trio.run(functools.partial(test, *args, **kwargs), clock=clock)

    return run
