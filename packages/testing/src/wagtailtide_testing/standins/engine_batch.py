"""Continuous batching: a fixed number of slots and a priority queue."""

import contextlib

import anyio
import sortedcontainers

_CLASS_RANKS = {'interactive': 0, 'standard': 1, 'batch': 2}


def rank(priority):
    """Return the sort key of a priority, a number or a class name.

    Lower ones run first.
    """
    if isinstance(priority, str):
        return _CLASS_RANKS.get(priority, 1)
    return 1 if priority is None else priority


class Batch:
    """Requests that run in one batch and requests that wait for a slot.

    Attributes:
        running: Number of requests with a slot.
    """

    def __init__(self, slots):
        self._slots = slots
        self._waiting = sortedcontainers.SortedDict()
        self._arrivals = 0
        self.running = 0

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def has_free_slot(self):
        """Return whether a request would get a slot immediately."""
        return self.running < self._slots

    @contextlib.asynccontextmanager
    async def slot(self, priority, wait):
        """Hold a slot while the context is active.

        Args:
            priority: Number or class name; see `rank`.
            wait: Coroutine function that waits for an event.
        """
        if self.has_free_slot():
            self.running += 1
        else:
            await self._wait_for_slot(priority, wait)
        try:
            yield
        finally:
            self._release()

    async def _wait_for_slot(self, priority, wait):
        self._arrivals += 1
        key, granted = (rank(priority), self._arrivals), anyio.Event()
        self._waiting[key] = granted
        try:
            await wait(granted)
        except BaseException:
            if granted.is_set():
                self._release()
            else:
                del self._waiting[key]
            raise

    def _release(self):
        if self._waiting:
            # The slot goes to the next request, so `running` stays the same.
            _, granted = self._waiting.popitem(0)
            granted.set()
        else:
            self.running -= 1
