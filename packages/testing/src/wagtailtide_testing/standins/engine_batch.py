"""Continuous batching: slots, and requests that wait by priority."""

import contextlib

import anyio
import sortedcontainers

_CLASSES = {'interactive': 0, 'standard': 1, 'batch': 2}


def rank(priority):
    """Return the rank of a priority: a number or class, lower first."""
    if isinstance(priority, str):
        return _CLASSES.get(priority, 1)
    return 1 if priority is None else priority


class Batch:
    """Requests that run together and requests that wait.

    Attributes:
        running: Number of requests that hold a slot.
    """

    def __init__(self, slots):
        self._slots = slots
        self._waiting = sortedcontainers.SortedDict()
        self._count = 0
        self.running = 0

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def is_free(self):
        """Tell whether a request would get a slot at once."""
        return self.running < self._slots

    @contextlib.asynccontextmanager
    async def slot(self, priority, wait):
        """Hold a slot while the block runs.

        Args:
            priority: Number or class; lower ones get a slot first.
            wait: Coroutine function that waits for an event.
        """
        if self.is_free():
            self.running += 1
        else:
            await self._wait_for_slot(priority, wait)
        try:
            yield
        finally:
            self._release()

    async def _wait_for_slot(self, priority, wait):
        self._count += 1
        place, granted = (rank(priority), self._count), anyio.Event()
        self._waiting[place] = granted
        try:
            await wait(granted)
        except BaseException:
            if granted.is_set():
                self._release()
            else:
                del self._waiting[place]
            raise

    def _release(self):
        if self._waiting:
            # The slot passes on, so the number that run stays the same.
            _, granted = self._waiting.popitem(0)
            granted.set()
        else:
            self.running -= 1
