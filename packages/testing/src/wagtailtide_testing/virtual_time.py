"""Run asynchronous tests on a mock clock that skips idle time."""

import functools

import trio
import trio.testing

# Real time for which the event loop must be idle before the clock jumps.
# Loopback data takes some real time to arrive; with 0, the clock would jump
# to the timeouts of pending I/O first.
AUTOJUMP_THRESHOLD_S = 0.02


def run_in_virtual_time(test):
    """Decorate a coroutine function to run in virtual time.

    Args:
        test: Coroutine function, for example a method of a test case.

    Returns:
        A plain function that runs the coroutine on a mock clock.
    """
    return _run_on_clock(test, AUTOJUMP_THRESHOLD_S)


def run_without_io(test):
    """Decorate as `run_in_virtual_time`, for tests that do no I/O.

    The clock jumps as soon as all tasks wait. This is faster and exact, but
    with real sockets, timeouts would expire before data arrives.
    """
    return _run_on_clock(test, 0.0)


def _run_on_clock(test, threshold_s):
    @functools.wraps(test)
    def run(*args, **kwargs):
        clock = trio.testing.MockClock(autojump_threshold=threshold_s)
        return trio.run(functools.partial(test, *args, **kwargs), clock=clock)

    return run
