"""Requests that wait at the instance for a backend server."""

import bisect
import itertools

import anyio


class WaitingRoom:
    """Waiting requests by service, the most urgent first.

    Answers the load of a burst on few copies of a model: what an engine
    cannot start soon waits here, where it can still go to another engine.
    """

    def __init__(self):
        self._lines = {}
        self._numbers = itertools.count()

    def enter(self, service, model, priority):
        """Return a Place in the line of a service."""
        place = Place(model, priority, next(self._numbers))
        bisect.insort(self._lines.setdefault(service, []), place)
        return place

    def leave(self, service, place):
        """Take a place out of its line."""
        line = self._lines[service]
        line.remove(place)
        if not line:
            del self._lines[service]

    def ahead(self, service, model, priority, place=None):
        """Return how many requests for a model wait before one.

        Args:
            service: Name of the service.
            model: Name of the model, or None.
            priority: Rank of the request, 0 is first.
            place: Its Place, None if it does not wait yet.
        """
        count = 0
        for other in self._lines.get(service, ()):
            if other is place:
                break
            if other.priority > priority:
                break
            if other.model == model:
                count += 1
        return count

    def wake(self, service=None):
        """Let the waiting requests of a service, or all, look again."""
        names = list(self._lines) if service is None else [service]
        for name in names:
            for place in self._lines.get(name, ()):
                place.woken.set()

    @property
    def count(self):
        """Number of waiting requests."""
        return sum(len(line) for line in self._lines.values())


class Place:
    """A place in a line.

    Attributes:
        model: Name of the model that is waited for, or None.
        priority: Rank, 0 is first.
        woken: Event that is set when the request should look again.
    """

    def __init__(self, model, priority, number):
        self.model = model
        self.priority = priority
        self._number = number
        self.woken = anyio.Event()

    def __lt__(self, other):
        return (self.priority, self._number) < (other.priority, other._number)

    async def wait(self, timeout_s):
        """Wait until woken, up to a time."""
        with anyio.move_on_after(timeout_s):
            await self.woken.wait()
        self.woken = anyio.Event()
